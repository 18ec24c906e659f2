//! The simulated platform's store. Its faults are injected by the network module.

use std::collections::BTreeMap;

use ridgeworks_configuration::update::Update;
use ridgeworks_configuration::{
    Machine, MachineState, OperationId, PlatformAnswer, PlatformOperation, PlatformVersion,
    Revision,
};

#[derive(Default)]
pub struct Platform {
    pub version: u64,
    pub document: Vec<u8>,
    /// The revision that each operation created, over the complete run.
    pub log: BTreeMap<OperationId, Revision>,
    pub revision: Revision,
    pub machines_version: u64,
    pub machines: Vec<Machine>,
}

impl Platform {
    pub fn new(initial: &Update) -> Self {
        let mut platform = Self {
            version: 1,
            document: initial.to_document(),
            revision: initial.revision,
            ..Self::default()
        };
        platform.set_machine(MachineState::Live);
        platform
    }

    /// Sets the state of the only machine in the list.
    pub fn set_machine(&mut self, state: MachineState) {
        self.machines_version += 1;
        self.machines = vec![Machine {
            name: "machine".to_owned(),
            incarnation: 1,
            state,
            backend: None,
        }];
    }

    /// Executes an operation. The second value is whether the document changed.
    pub fn carry_out(&mut self, operation: PlatformOperation) -> (PlatformAnswer, bool) {
        match operation {
            PlatformOperation::Read | PlatformOperation::Watch => {
                let version = PlatformVersion(self.version);
                let document = self.document.clone();
                (PlatformAnswer::Document { version, document }, false)
            }
            PlatformOperation::ListMachines => {
                let version = self.machines_version;
                let machines = self.machines.clone();
                (PlatformAnswer::Machines { version, machines }, false)
            }
            PlatformOperation::CompareAndSwap {
                expected, document, ..
            } => self.swap(expected, document),
        }
    }

    fn swap(&mut self, expected: PlatformVersion, document: Vec<u8>) -> (PlatformAnswer, bool) {
        if expected.0 != self.version {
            return (PlatformAnswer::VersionMismatch, false);
        }
        let update = Update::from_document(&document).expect("a document that can be read");
        for record in &update.operations {
            if record.revision > self.revision {
                let earlier = self.log.insert(record.operation, record.revision);
                assert_eq!(earlier, None, "operation {} ran twice", record.operation);
            }
        }
        self.version += 1;
        self.revision = update.revision;
        self.document = document;
        let version = PlatformVersion(self.version);
        (PlatformAnswer::Swapped { version }, true)
    }
}

//! Kinds of objects as the command line names them.

use clap::ValueEnum;
use ridgeworks_api::v1::ObjectKind;
use ridgeworks_api::v1::object::Specification;

/// Kind of an object, as an argument.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum KindArgument {
    /// Partners and their tokens.
    #[value(alias = "partners")]
    Partner,
    /// Priority classes.
    #[value(alias = "priority-classes", alias = "class", alias = "classes")]
    PriorityClass,
    /// Services that calls go to.
    #[value(alias = "services")]
    Service,
    /// Programs that runs are opened from.
    #[value(alias = "programs")]
    Program,
    /// The split of the shared pool.
    #[value(alias = "pool-splits")]
    PoolSplit,
    /// Back ends.
    #[value(alias = "backends")]
    Backend,
}

impl From<KindArgument> for ObjectKind {
    fn from(kind: KindArgument) -> Self {
        match kind {
            KindArgument::Partner => Self::Partner,
            KindArgument::PriorityClass => Self::PriorityClass,
            KindArgument::Service => Self::Service,
            KindArgument::Program => Self::Program,
            KindArgument::PoolSplit => Self::PoolSplit,
            KindArgument::Backend => Self::Backend,
        }
    }
}

/// Name of a kind as the command line takes and shows it.
pub fn kind_name(kind: ObjectKind) -> &'static str {
    match kind {
        ObjectKind::Unspecified => "unspecified",
        ObjectKind::Partner => "partner",
        ObjectKind::PriorityClass => "priority-class",
        ObjectKind::Service => "service",
        ObjectKind::Program => "program",
        ObjectKind::PoolSplit => "pool-split",
        ObjectKind::Backend => "backend",
    }
}

/// The kind that a specification belongs to.
pub fn kind_of(specification: &Specification) -> ObjectKind {
    match specification {
        Specification::Partner(_) => ObjectKind::Partner,
        Specification::PriorityClass(_) => ObjectKind::PriorityClass,
        Specification::Service(_) => ObjectKind::Service,
        Specification::Program(_) => ObjectKind::Program,
        Specification::PoolSplit(_) => ObjectKind::PoolSplit,
        Specification::Backend(_) => ObjectKind::Backend,
    }
}

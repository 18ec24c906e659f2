//! Tells the roles of changes among the members.

use ridgeworks_configuration::Member as ConfigurationMember;
use ridgeworks_membership::MemberState;
use stakker::{Actor, CX, call, lazy};

use crate::configuration::ConfigurationRoleActor;
use crate::directory::Directory;
use crate::dispatcher::DispatcherRole;
use crate::inbound::Gateway;
use crate::membership::MemberChange;
use crate::owner::OwnerRole;

/// Actor that passes changes on.
pub struct MemberChanges {
    directory: Directory,
    gateway: Actor<Gateway>,
    owner: Actor<OwnerRole>,
    dispatcher: Actor<DispatcherRole>,
    configuration: Actor<ConfigurationRoleActor>,
    /// Whether the configuration role is to hear of the members once the changes at hand are taken.
    is_pending: bool,
}

impl MemberChanges {
    /// Starts the actor.
    pub fn init(
        _cx: CX![],
        directory: Directory,
        gateway: Actor<Gateway>,
        owner: Actor<OwnerRole>,
        dispatcher: Actor<DispatcherRole>,
        configuration: Actor<ConfigurationRoleActor>,
    ) -> Option<Self> {
        Some(Self {
            directory,
            gateway,
            owner,
            dispatcher,
            configuration,
            is_pending: false,
        })
    }

    /// Takes a change.
    pub fn changed(&mut self, cx: CX![], change: MemberChange) {
        let MemberChange { member, old_state } = change;
        if old_state != Some(member.state) {
            log::info!("member={} state={:?}", member.name, member.state);
        }
        let node = member.node;
        self.directory
            .record_presence(node, member.state.is_present());
        let lost = matches!(member.state, MemberState::Dead | MemberState::Left);
        // A node that came back with a new incarnation has lost what its predecessor held.
        let replaced = old_state.is_some() && member.state == MemberState::Alive;
        if lost || replaced && old_state != Some(MemberState::Suspect) {
            call!([self.gateway], node_lost(node));
            call!([self.dispatcher], node_lost(node));
        }
        let was_present = old_state.is_some_and(MemberState::is_present);
        let moved = was_present != member.state.is_present();
        call!([self.owner], member_changed(member));
        if moved && !self.is_pending {
            self.is_pending = true;
            lazy!([cx], tell_configuration());
        }
    }

    /// Once for all changes of a batch: each time costs as much as there are members.
    fn tell_configuration(&mut self, _cx: CX![]) {
        self.is_pending = false;
        let members = self.directory.members().into_iter();
        let present: Vec<ConfigurationMember> = members
            .filter(|member| member.state.is_present())
            .map(|member| ConfigurationMember {
                node: member.node,
                zone: member.zone,
            })
            .collect();
        call!([self.configuration], update_members(present));
    }
}

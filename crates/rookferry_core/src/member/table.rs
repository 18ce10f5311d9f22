//! Members of a site by their heartbeats: live, leaving or suspected.
//!
//! Input are heartbeats and the time; output are the state of each member and the newest
//! configuration version.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::Heartbeat;
use rookferry_wire::InstanceId;
use rookferry_wire::ObjectVersion;
use snafu::Snafu;
use snafu::ensure;

/// Missed rounds after which a member of the own domain is suspected.
const SUSPECT_MISSED_ROUNDS: u32 = 4;
/// Shortest silence after which a member of the own domain is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Shortest silence after which a member of another domain is suspected; its heartbeats
/// are less frequent.
const SUSPECT_REMOTE_AFTER: Duration = Duration::from_secs(10);
/// Missed rotations after which a member of another domain is suspected.
const SUSPECT_MISSED_ROTATIONS: u32 = 2;
/// Silence after which a member is removed.
const FORGET_AFTER: Duration = Duration::from_mins(2);
/// Upper bound of stored members, so that a flood of names can't exhaust the memory.
const MAX_MEMBERS: usize = 1_024;

/// State of a member, by its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Its heartbeats arrive in time.
    Live,
    /// Its last heartbeat says that it is leaving.
    Leaving,
    /// Its heartbeats are overdue.
    Suspect,
}

/// An instance and its newest heartbeat.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that heartbeat was received.
    pub received_at: Instant,
    /// The state at the last heartbeat or tick.
    pub state: MemberState,
}

/// Why a heartbeat is dropped.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum HeartbeatError {
    /// It is the instance's own.
    #[snafu(display("received this instance's own heartbeat"))]
    Own,
    /// Another process uses this instance's name.
    #[snafu(display(
        "another process (incarnation {incarnation}) uses this instance's name; \
         give each instance a unique name"
    ))]
    SameName {
        /// The other process's incarnation.
        incarnation: u64,
    },
    /// Not newer than the last one of its sender: replayed, duplicated or reordered.
    #[snafu(display("stale heartbeat {seq} from {instance}"))]
    Stale {
        /// The sender.
        instance: InstanceId,
        /// The heartbeat's sequence number.
        seq: u64,
    },
    /// The table is full, and the sender is unknown.
    #[snafu(display("member table is full ({MAX_MEMBERS} members)"))]
    Full,
}

/// All members of the site except the own instance.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: InstanceId,
    own_incarnation: u64,
    own_domain: DomainId,
    members: BTreeMap<InstanceId, Member>,
}

impl MemberTable {
    /// An empty table for an instance, its incarnation and its failure domain.
    #[must_use]
    pub const fn new(own: InstanceId, own_incarnation: u64, own_domain: DomainId) -> Self {
        Self {
            own,
            own_incarnation,
            own_domain,
            members: BTreeMap::new(),
        }
    }

    /// Records a received heartbeat. Returns whether the member is new, or its state,
    /// incarnation or configuration version changed.
    ///
    /// # Errors
    ///
    /// If the heartbeat is to be dropped; the table is then unchanged.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
    ) -> Result<bool, HeartbeatError> {
        if heartbeat.instance == self.own {
            ensure!(
                heartbeat.incarnation == self.own_incarnation,
                SameNameSnafu {
                    incarnation: heartbeat.incarnation
                }
            );
            return OwnSnafu.fail();
        }
        let known = self.members.get(&heartbeat.instance);
        if let Some(known) = known {
            let last = (known.heartbeat.incarnation, known.heartbeat.seq);
            ensure!(
                (heartbeat.incarnation, heartbeat.seq) > last,
                StaleSnafu {
                    instance: heartbeat.instance,
                    seq: heartbeat.seq
                }
            );
        }
        ensure!(
            known.is_some() || self.members.len() < MAX_MEMBERS,
            FullSnafu
        );
        let state = if heartbeat.leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        let is_change = known.is_none_or(|known| {
            known.state != state
                || known.heartbeat.incarnation != heartbeat.incarnation
                || known.heartbeat.config_version != heartbeat.config_version
        });
        let member = Member {
            heartbeat,
            received_at: now,
            state,
        };
        self.members
            .insert(member.heartbeat.instance.clone(), member);
        Ok(is_change)
    }

    /// Removes members that were silent for long, and suspects those whose heartbeats are
    /// overdue. Returns the newly suspected ones.
    pub fn tick(&mut self, now: Instant) -> Vec<InstanceId> {
        self.members
            .retain(|_, member| now.saturating_duration_since(member.received_at) < FORGET_AFTER);
        let local_members = u32::try_from(self.local().count())
            .unwrap_or(u32::MAX)
            .saturating_add(1);
        let mut suspected = Vec::new();
        for (name, member) in &mut self.members {
            let interval = Duration::from_millis(member.heartbeat.interval_ms.into());
            let timeout = if member.heartbeat.failure_domain == self.own_domain {
                SUSPECT_AFTER.max(interval * SUSPECT_MISSED_ROUNDS)
            } else {
                // It sends to the members of this domain in rotation.
                SUSPECT_REMOTE_AFTER.max(interval * local_members * SUSPECT_MISSED_ROTATIONS)
            };
            let is_overdue = now.saturating_duration_since(member.received_at) > timeout;
            if is_overdue && member.state != MemberState::Suspect {
                member.state = MemberState::Suspect;
                suspected.push(name.clone());
            }
        }
        suspected
    }

    /// A member by name.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Member> {
        self.members.get(instance)
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members of the own domain that aren't suspected.
    pub fn local(&self) -> impl Iterator<Item = &Member> {
        let unsuspected = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Suspect);
        unsuspected.filter(|member| member.heartbeat.failure_domain == self.own_domain)
    }

    /// The highest configuration version among members that aren't suspected, and a
    /// member that has it.
    #[must_use]
    pub fn newest_config(&self) -> Option<(ObjectVersion, &Member)> {
        let unsuspected = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Suspect);
        let newest = unsuspected.max_by_key(|member| member.heartbeat.config_version)?;
        Some((newest.heartbeat.config_version, newest))
    }

    /// Live instances by failure domain, the own instance included.
    #[must_use]
    pub fn live_by_domain(&self) -> BTreeMap<DomainId, Vec<InstanceId>> {
        let mut live: BTreeMap<DomainId, Vec<InstanceId>> = BTreeMap::new();
        live.entry(self.own_domain.clone())
            .or_default()
            .push(self.own.clone());
        for member in self
            .members
            .values()
            .filter(|member| member.state == MemberState::Live)
        {
            let domain = member.heartbeat.failure_domain.clone();
            live.entry(domain)
                .or_default()
                .push(member.heartbeat.instance.clone());
        }
        live
    }

    /// Live instances of all domains, the own instance included.
    #[must_use]
    pub fn live(&self) -> Vec<InstanceId> {
        self.live_by_domain().into_values().flatten().collect()
    }

    /// Live instances of the own domain in order of their names, the own instance
    /// included.
    #[must_use]
    pub fn live_local(&self) -> Vec<InstanceId> {
        let mut local = self
            .live_by_domain()
            .remove(&self.own_domain)
            .unwrap_or_default();
        local.sort();
        local
    }
}

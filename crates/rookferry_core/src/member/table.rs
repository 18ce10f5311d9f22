//! Members as their heartbeats show them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::Heartbeat;
use rookferry_wire::InstanceId;
use rookferry_wire::ObjectVersion;
use snafu::Snafu;
use snafu::ensure;

/// Rounds of a member without a word after which it is suspected.
const SUSPECT_ROUNDS: u32 = 4;
/// The least silence after which a member of the own domain is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a member of another domain is suspected; it is heard
/// from less often.
const SUSPECT_FAR_AFTER: Duration = Duration::from_secs(10);
/// Turns of a member of another domain without a word.
const SUSPECT_FAR_TURNS: u32 = 2;
/// Silence after which a member is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(2);
/// Members kept at most, so that a flood of names can't fill the memory.
const MAX_MEMBERS: usize = 1_024;

/// Whether a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Heard from of late.
    Live,
    /// It says that it leaves.
    Leaving,
    /// Not heard from for a while.
    Suspect,
}

/// An instance as last heard.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When it came.
    pub heard_at: Instant,
    /// Whether it answers.
    pub state: MemberState,
}

/// Why a heartbeat was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum HeartbeatFault {
    /// It is the instance's own.
    #[snafu(display("own heartbeat came back"))]
    Own,
    /// Another process runs under this instance's name.
    #[snafu(display(
        "another run of this instance, {incarnation}, is alive; give each instance its own name"
    ))]
    SameName {
        /// The other's incarnation.
        incarnation: u64,
    },
    /// Older than what is known: replayed or delayed.
    #[snafu(display("stale heartbeat {seq} of {instance}"))]
    Stale {
        /// The sender.
        instance: InstanceId,
        /// Its number.
        seq: u64,
    },
    /// Too many members.
    #[snafu(display("more than {MAX_MEMBERS} members"))]
    Full,
}

/// All members but the own instance.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: InstanceId,
    own_incarnation: u64,
    own_domain: DomainId,
    members: BTreeMap<InstanceId, Member>,
}

impl MemberTable {
    /// A table that knows nobody.
    #[must_use]
    pub const fn new(own: InstanceId, own_incarnation: u64, own_domain: DomainId) -> Self {
        Self {
            own,
            own_incarnation,
            own_domain,
            members: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat; returns whether it brought something new besides
    /// its number.
    ///
    /// # Errors
    ///
    /// If it is to be dropped; the table is unchanged then.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
    ) -> Result<bool, HeartbeatFault> {
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
        let is_news = known.is_none_or(|known| {
            known.state != state
                || known.heartbeat.incarnation != heartbeat.incarnation
                || known.heartbeat.config_version != heartbeat.config_version
        });
        let member = Member {
            heartbeat,
            heard_at: now,
            state,
        };
        self.members
            .insert(member.heartbeat.instance.clone(), member);
        Ok(is_news)
    }

    /// Ages the table; returns the members newly suspected.
    pub fn tick(&mut self, now: Instant) -> Vec<InstanceId> {
        self.members
            .retain(|_, member| now.saturating_duration_since(member.heard_at) < FORGET_AFTER);
        let near_members = u32::try_from(self.near().count())
            .unwrap_or(u32::MAX)
            .saturating_add(1);
        let mut suspected = Vec::new();
        for (name, member) in &mut self.members {
            let interval = Duration::from_millis(member.heartbeat.interval_ms.into());
            let patience = if member.heartbeat.failure_domain == self.own_domain {
                SUSPECT_AFTER.max(interval * SUSPECT_ROUNDS)
            } else {
                // It tells the members of this domain in turn.
                SUSPECT_FAR_AFTER.max(interval * near_members * SUSPECT_FAR_TURNS)
            };
            let is_silent = now.saturating_duration_since(member.heard_at) > patience;
            if is_silent && member.state != MemberState::Suspect {
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

    /// Members of the own domain that answer.
    pub fn near(&self) -> impl Iterator<Item = &Member> {
        let answering = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Suspect);
        answering.filter(|member| member.heartbeat.failure_domain == self.own_domain)
    }

    /// The highest configuration version heard of, and who has it.
    #[must_use]
    pub fn newest_config(&self) -> Option<(ObjectVersion, &Member)> {
        let answering = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Suspect);
        let newest = answering.max_by_key(|member| member.heartbeat.config_version)?;
        Some((newest.heartbeat.config_version, newest))
    }

    /// Instances that take work by failure domain, the own one included.
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

    /// Instances of all domains that take work, the own one included.
    #[must_use]
    pub fn live(&self) -> Vec<InstanceId> {
        self.live_by_domain().into_values().flatten().collect()
    }

    /// Instances of the own domain that take work, the own one included.
    #[must_use]
    pub fn live_near(&self) -> Vec<InstanceId> {
        let mut near = self
            .live_by_domain()
            .remove(&self.own_domain)
            .unwrap_or_default();
        near.sort();
        near
    }
}

//! The response of `GET /api/Status`: the state of the system as one control node sees it.

use std::collections::BTreeMap;

use membership::{MemberStatus, Role};
use registry::InstanceState;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::{Micros, SECOND};

use crate::control_plane::ControlPlane;
use crate::node::NodeCore;

/// Number of instances that are listed; the others are counted.
const MAX_LISTED_INSTANCES: usize = 2048;
/// Time after a change within which every connected node has applied and confirmed it.
const RECENT_STATUS_WINDOW: Micros = 2 * SECOND;

/// Health of this control node's disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskHealth {
    /// Age of the oldest pending write; `None` if none is pending.
    pub oldest_write_wait: Option<Micros>,
    /// The disk reported a failure, and no write has succeeded since.
    pub failing: bool,
}

fn seconds(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}

fn run_id(id: types::RunId) -> String {
    format!("{:x}", id.0)
}

fn member_status(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    }
}

fn instance_state(state: InstanceState) -> &'static str {
    match state {
        InstanceState::InService => "in_service",
        InstanceState::Silent => "silent",
        InstanceState::Draining => "draining",
        InstanceState::Gone => "gone",
    }
}

/// The status of the system as this control node sees it at `now`.
pub fn status_json(control: &ControlPlane, disk: DiskHealth, now: Micros) -> OwnedValue {
    let (house, raft) = (&control.node, control.raft());
    let voter = control.voter_id();
    let voters: Vec<OwnedValue> = (raft.members().0.iter())
        .map(|voter| simd_json::json!({ "Place": voter.address.to_string(), "Life": run_id(voter.disk_id) }))
        .collect();
    let mut members = vec![member_json(house, now, &house.own, "alive")];
    let others = house.membership.members().filter(|(member, _)| member.address != house.own.address);
    members.extend(others.map(|(one, status)| member_json(house, now, one, member_status(status))));
    let rollouts: Vec<OwnedValue> =
        house.state.rollouts.values().map(|rollout| rollout_json(control, now, rollout)).collect();
    let mut state_counts: BTreeMap<&str, [usize; 4]> = BTreeMap::new();
    let (mut instances, mut omitted) = (Vec::new(), 0);
    for record in house.registry.instances() {
        state_counts.entry(&record.service).or_default()[record.state as usize] += 1;
        if instances.len() < MAX_LISTED_INSTANCES {
            instances.push(instance_json(now, record));
        } else {
            omitted += 1;
        }
    }
    let state_counts: Vec<OwnedValue> = (state_counts.into_iter())
        .map(|(service, [in_service, silent, draining, gone])| {
            simd_json::json!({
                "Service": service, "InService": in_service, "Silent": silent, "Draining": draining, "Gone": gone,
            })
        })
        .collect();
    simd_json::json!({
        "Node": {
            "Name": house.own.name.clone(), "Place": voter.address.to_string(), "Life": run_id(voter.disk_id),
            "Program": house.own.version.program.to_string(),
        },
        "AgreedForm": house.state.agreed_format().0,
        "WordsRefused": house.rejected_messages(),
        "Leads": raft.is_leader(),
        "Leader": raft.leader().map(|voter| voter.address.to_string()),
        "Term": raft.term().0,
        "LogCommitted": raft.commit_index().0,
        "LogApplied": house.state.last_applied().0,
        "ConfigVersion": house.state.configuration_version().to_string(),
        "Disk": { "WaitsS": disk.oldest_write_wait.map(seconds), "Fails": disk.failing },
        "Voters": voters,
        "Members": members,
        "Rollouts": rollouts,
        "InstanceCounts": state_counts,
        "Instances": instances,
        "InstancesMore": omitted,
    })
}

fn member_json(house: &NodeCore, now: Micros, member: &membership::Member, status: &str) -> OwnedValue {
    let role = match member.role {
        Role::Gateway => "foyer",
        Role::ControlNode => "prompter",
    };
    let own_index = house.replicator.index().0;
    let behind = house
        .replicated_index(member.address, RECENT_STATUS_WINDOW)
        .map(|index| own_index.saturating_sub(index.0));
    simd_json::json!({
        "Name": member.name.clone(), "Place": member.address.to_string(), "Life": run_id(member.run_id), "Part": role,
        "Zone": member.zone.clone(), "Standing": status,
        "SinceS": house.membership.status_since(member.address).map(|since| seconds(now - since)),
        "Behind": behind, "Program": member.version.program.to_string(),
        "OldestForm": member.version.formats.oldest.0, "NewestForm": member.version.formats.newest.0,
    })
}

/// Name of a roll-out's state in responses.
pub fn rollout_state(state: control_state::RolloutState) -> &'static str {
    match state {
        control_state::RolloutState::InProgress => "in_progress",
        control_state::RolloutState::Completed => "completed",
        control_state::RolloutState::Reverted => "reverted",
    }
}

fn rollout_json(control: &ControlPlane, now: Micros, rollout: &control_state::Rollout) -> OwnedValue {
    let votes = control.votes(now, &rollout.service).map(|votes| {
        simd_json::json!({
            "On": votes.promote_votes, "Back": votes.roll_back_votes, "Trial": votes.trial_outcomes, "TrialFailed": votes.trial_failures,
            "InService": votes.base_outcomes, "InServiceFailed": votes.base_failures,
        })
    });
    simd_json::json!({
        "Service": rollout.service.clone(),
        "State": rollout.state.map(rollout_state),
        "CurrentVersion": rollout.current_version.clone(),
        "TargetVersion": rollout.target_version.clone(),
        "RolloutPeriodS": seconds(rollout.period),
        "SinceS": seconds(now - rollout.state_since),
        "Votes": votes,
    })
}

fn instance_json(now: Micros, record: &registry::Instance) -> OwnedValue {
    simd_json::json!({
        "Id": record.id.0.clone(), "Service": record.service.clone(), "Address": record.address.to_string(),
        "Zone": record.zone.clone(), "Version": record.version.clone(), "Slots": record.slots,
        "State": instance_state(record.state), "SinceS": seconds(now - record.state_since),
        "WarmupLeftS": seconds((record.warm_at - now).max(0)), "Keeper": record.owner.to_string(),
    })
}

//! View (status of the whole): what one prompter knows, as `GET /api/Status` answers it. Read only.

use std::collections::BTreeMap;

use membership::{MemberStatus, Role};
use registry::InstanceState;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::{Micros, SECOND};

use crate::control_plane::ControlPlane;
use crate::node::NodeCore;

/// Instances that are listed; more are counted.
const INSTANCES_MOST: usize = 2048;
/// Within so long after a change every node that is in touch has it, and has told so.
const HEARD_WITHIN: Micros = 2 * SECOND;

/// How the writes of this prompter fare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk {
    /// For how long the oldest write has waited.
    pub waits: Option<Micros>,
    /// The disk said that it failed, and nothing has been written since.
    pub fails: bool,
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

fn life(life: types::RunId) -> String {
    format!("{:x}", life.0)
}

fn standing(standing: MemberStatus) -> &'static str {
    match standing {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    }
}

fn state(state: InstanceState) -> &'static str {
    match state {
        InstanceState::InService => "in_service",
        InstanceState::Silent => "silent",
        InstanceState::Draining => "draining",
        InstanceState::Gone => "gone",
    }
}

/// The system as this prompter sees it at `now`.
pub fn view(control: &ControlPlane, disk: Disk, now: Micros) -> OwnedValue {
    let (house, book) = (&control.node, control.raft());
    let seat = control.voter_id();
    let voters: Vec<OwnedValue> = (book.members().0.iter())
        .map(|seat| simd_json::json!({ "Place": seat.address.to_string(), "Life": life(seat.disk_id) }))
        .collect();
    let mut members = vec![member(house, now, &house.own, "alive")];
    let others = house.membership.members().filter(|(member, _)| member.address != house.own.address);
    members.extend(others.map(|(one, stands)| member(house, now, one, standing(stands))));
    let rollouts: Vec<OwnedValue> =
        house.state.rollouts.values().map(|rollout| trial(control, now, rollout)).collect();
    let mut counts: BTreeMap<&str, [usize; 4]> = BTreeMap::new();
    let (mut instances, mut more) = (Vec::new(), 0);
    for record in house.registry.instances() {
        counts.entry(&record.service).or_default()[record.state as usize] += 1;
        if instances.len() < INSTANCES_MOST {
            instances.push(instance(now, record));
        } else {
            more += 1;
        }
    }
    let counts: Vec<OwnedValue> = (counts.into_iter())
        .map(|(service, [in_service, silent, draining, gone])| {
            simd_json::json!({
                "Service": service, "InService": in_service, "Silent": silent, "Draining": draining, "Gone": gone,
            })
        })
        .collect();
    simd_json::json!({
        "Node": {
            "Name": house.own.name.clone(), "Place": seat.address.to_string(), "Life": life(seat.disk_id),
            "Program": house.own.version.program.to_string(),
        },
        "AgreedForm": house.state.agreed_format().0,
        "WordsRefused": house.rejected_messages(),
        "Leads": book.is_leader(),
        "Leader": book.leader().map(|seat| seat.address.to_string()),
        "Term": book.term().0,
        "LogCommitted": book.commit_index().0,
        "LogApplied": house.state.last_applied().0,
        "ConfigVersion": house.state.configuration_version().to_string(),
        "Disk": { "WaitsS": disk.waits.map(seconds), "Fails": disk.fails },
        "Voters": voters,
        "Members": members,
        "Rollouts": rollouts,
        "InstanceCounts": counts,
        "Instances": instances,
        "InstancesMore": more,
    })
}

fn member(house: &NodeCore, now: Micros, member: &membership::Member, standing: &str) -> OwnedValue {
    let part = match member.role {
        Role::Gateway => "foyer",
        Role::ControlNode => "prompter",
    };
    let here = house.replicator.index().0;
    let behind =
        house.replicated_index(member.address, HEARD_WITHIN).map(|index| here.saturating_sub(index.0));
    simd_json::json!({
        "Name": member.name.clone(), "Place": member.address.to_string(), "Life": life(member.run_id), "Part": part,
        "Zone": member.zone.clone(), "Standing": standing,
        "SinceS": house.membership.status_since(member.address).map(|since| seconds(now - since)),
        "Behind": behind, "Program": member.version.program.to_string(),
        "OldestForm": member.version.formats.oldest.0, "NewestForm": member.version.formats.newest.0,
    })
}

/// A roll-out's state as it is written in answers.
pub fn rollout_state(state: control_state::RolloutState) -> &'static str {
    match state {
        control_state::RolloutState::InProgress => "in_progress",
        control_state::RolloutState::Completed => "completed",
        control_state::RolloutState::Reverted => "reverted",
    }
}

fn trial(control: &ControlPlane, now: Micros, rollout: &control_state::Rollout) -> OwnedValue {
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

fn instance(now: Micros, record: &registry::Instance) -> OwnedValue {
    simd_json::json!({
        "Id": record.id.0.clone(), "Service": record.service.clone(), "Address": record.address.to_string(),
        "Zone": record.zone.clone(), "Version": record.version.clone(), "Slots": record.slots,
        "State": state(record.state), "SinceS": seconds(now - record.state_since),
        "WarmupLeftS": seconds((record.warm_at - now).max(0)), "Keeper": record.owner.to_string(),
    })
}

//! Tests of `wire` that need its private state.

use super::*;
use crate::quorum::{VoterList, VoterLists};
use crate::record::Phase;
use crate::settings::MemberId;
use std::time::Duration;

#[test]
fn the_largest_voter_messages_fit_a_datagram() {
    let most = u32::MAX;
    let list = |from: u32| VoterList::new((from..from + 9).map(MemberId)).unwrap();
    let version = Version { number: u64::MAX, digest: Digest([255; 32]) };
    let position = Position { epoch: most, salt: most, index: most };
    let change = ProposalId { proposer: MemberId(most), incarnation: u64::MAX, count: u64::MAX };
    let phase = Phase::Prepare { old: version, new: version, tightens_floor: true };
    let lists = VoterLists { current: list(most - 9), next: Some(list(most - 18)) };
    let record = Record { position, phase, leases_from: position, change, lists };
    let ballot = (most, MemberId(most));
    let status = VoterStatus::Silent { until: Duration::MAX, state_lost: true };
    let (promised, accepted) = (ballot, Some((ballot, record)));
    let state = Message::VoterState {
        incarnation: u64::MAX,
        recipient: u64::MAX,
        status,
        known: record,
        promised,
        accepted,
    };
    let incarnations = (0..18).map(|at| (MemberId(most - at), u64::MAX)).collect();
    let accept = Message::Accept(Accept { ballot, record, incarnations, basis: Some(position) });
    for message in [state, accept] {
        let data = encode(&message);
        assert!(data.len() <= MAX_DATAGRAM_BYTES, "{} bytes", data.len());
        assert_eq!(decode(&data), Some(message));
    }
}

//! Tests of `datagram` that need its private state.

use super::*;

fn datagram(message: Message<MemberInstance>, updates: &[u32]) -> Vec<u8> {
    let instance = |id| MemberInstance::new(MemberId(id), 7);
    let header = Header { src: instance(1), src_incarnation: 0, dst: instance(2), message };
    let mut buf = [0; 512];
    let mut data = postcard::to_slice(&header, &mut buf).expect("room").to_vec();
    data.extend((updates.len() as u16).to_be_bytes());
    for id in updates {
        let member = foca::Member::alive(instance(*id));
        data.extend_from_slice(postcard::to_slice(&member, &mut buf).expect("room"));
    }
    data
}

#[test]
fn updates_about_unknown_members_are_removed_and_the_rest_is_unchanged() {
    let whole = datagram(Message::Gossip, &[3, 900, 4, 901]);
    let parsed = parse(&whole, |id| id.0 < 10).expect("well-formed");
    assert_eq!((parsed.from, parsed.is_answer), (MemberId(1), false));
    assert_eq!(parsed.data, datagram(Message::Gossip, &[3, 4]));
    assert_eq!(parse(&whole, |_| true).expect("well-formed").data, whole);
}

#[test]
fn truncated_and_overlong_datagrams_are_rejected() {
    let whole = datagram(Message::Ack(3), &[3, 4]);
    assert!(parse(&whole, |_| true).is_some_and(|parsed| parsed.is_answer));
    let header = datagram(Message::Ack(3), &[]).len() - 2;
    for n in (0..whole.len()).filter(|n| *n != header) {
        assert!(parse(&whole[..n], |_| true).is_none(), "{n} bytes");
    }
    assert!(parse(&[whole, vec![0]].concat(), |_| true).is_none());
}

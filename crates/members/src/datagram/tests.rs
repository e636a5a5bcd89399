//! Tests of `words` that need its private state.

use super::*;

fn datagram(message: Message<MemberInstance>, news: &[u32]) -> Vec<u8> {
    let life = |name| MemberInstance::new(MemberId(name), 7);
    let header = Header { src: life(1), src_incarnation: 0, dst: life(2), message };
    let mut buf = [0; 512];
    let mut data = postcard::to_slice(&header, &mut buf).expect("room").to_vec();
    data.extend((news.len() as u16).to_be_bytes());
    for name in news {
        let member = foca::Member::alive(life(*name));
        data.extend_from_slice(postcard::to_slice(&member, &mut buf).expect("room"));
    }
    data
}

#[test]
fn news_of_unknown_names_is_left_out_and_the_rest_stays_as_it_was() {
    let whole = datagram(Message::Gossip, &[3, 900, 4, 901]);
    let words = read(&whole, |name| name.0 < 10).expect("words");
    assert_eq!((words.from, words.answers), (MemberId(1), false));
    assert_eq!(words.data, datagram(Message::Gossip, &[3, 4]));
    assert_eq!(read(&whole, |_| true).expect("words").data, whole);
}

#[test]
fn what_is_cut_short_or_too_long_is_none() {
    let whole = datagram(Message::Ack(3), &[3, 4]);
    assert!(read(&whole, |_| true).is_some_and(|words| words.answers));
    let header = datagram(Message::Ack(3), &[]).len() - 2;
    for n in (0..whole.len()).filter(|n| *n != header) {
        assert!(read(&whole[..n], |_| true).is_none(), "{n} bytes");
    }
    assert!(read(&[whole, vec![0]].concat(), |_| true).is_none());
}

use super::*;
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{RData, Record, RecordType};
use rstest::rstest;

/// A resolver in memory: the records of a name, or a failure for all.
struct Rig {
    browser: Browser,
    now: Micros,
    records: Vec<(&'static str, u32, RData)>,
    fails: Option<ResponseCode>,
    /// Nothing is answered.
    silent: bool,
    asked: usize,
}

fn name(text: &str) -> Name {
    records::parse_name(text).unwrap()
}

fn ptr(to: &str) -> RData {
    RData::PTR(PTR(name(to)))
}

fn srv(priority: u16, port: u16) -> RData {
    RData::SRV(SRV::new(priority, 0, port, name("Box.test")))
}

fn txt(pairs: &[&str]) -> RData {
    RData::TXT(TXT::new(pairs.iter().map(|p| p.to_string()).collect()))
}

impl Rig {
    fn new() -> Self {
        let records = vec![
            ("s.test", 100, ptr("A.s.test")),
            ("a.s.test", 100, srv(1, 7001)),
            ("a.s.test", 100, srv(0, 7000)),
            ("a.s.test", 100, txt(&["cell=3", "zone=z1"])),
            ("box.test", 10, RData::A(A([127, 0, 0, 1].into()))),
        ];
        let browser = Browser::new(name("s.test"), vec!["z0".into(), "z1".into()], 5);
        Self { browser, now: 1000 * SECOND, records, fails: None, silent: false, asked: 0 }
    }

    /// Answers all that is asked until nothing is, time standing still; then lets it pass.
    fn pass(&mut self, time: Micros) -> Vec<Host> {
        let (end, mut news) = (self.now + time, Vec::new());
        loop {
            loop {
                let queries = self.browser.due(self.now);
                if queries.is_empty() {
                    break;
                }
                for query in queries {
                    self.asked += 1;
                    if self.silent {
                        continue;
                    }
                    let mut message = Message::from_vec(&query).unwrap().into_response();
                    let asked = message.queries[0].clone();
                    for (owner, ttl, data) in &self.records {
                        if name(owner) == *asked.name() && data.record_type() == asked.query_type() {
                            message.add_answer(Record::from_rdata(name(owner), *ttl, data.clone()));
                        }
                    }
                    if let Some(code) = self.fails {
                        message.answers.clear();
                        message.metadata.response_code = code;
                    }
                    self.browser.answer(self.now, &message.to_vec().unwrap());
                }
            }
            news.extend(self.browser.changes(self.now));
            let next = self.browser.next_tick();
            if next > end {
                self.now = end;
                return news;
            }
            self.now = self.now.max(next);
        }
    }
}

fn conditions(news: &[Host]) -> Vec<Condition> {
    news.iter().map(|h| h.entry.condition).collect()
}

#[test]
fn an_instance_is_told_once_all_of_it_is_known() {
    let news = Rig::new().pass(SECOND);
    let entry = ListEntry {
        worker: "a.s.test.".into(),
        zone: 1,
        cell: 3,
        condition: Condition::Up,
        size: 1.0,
        ready_at: 0,
    };
    assert_eq!(news, [Host { entry, address: ([127, 0, 0, 1], 7000).into() }]);
}

#[test]
fn records_are_renewed_within_their_time_and_not_all_the_time() {
    let mut rig = Rig::new();
    rig.pass(0);
    assert_eq!(rig.asked, 4);
    assert_eq!(rig.pass(100 * SECOND), []);
    // The address holds for 10 s and is asked for each 8; the three others after 80.
    assert_eq!(rig.asked, 4 + 12 + 3);
}

#[test]
fn an_instance_that_is_no_longer_named_drains_and_goes() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.records.remove(0);
    let news = rig.pass(80 * SECOND);
    assert_eq!(conditions(&news), [Condition::Draining]);
    assert_eq!(conditions(&rig.pass(DRAIN_TIME_US)), [Condition::Gone]);
    rig.records.push(("s.test", 100, ptr("a.s.test")));
    let back = rig.pass(MAX_NEGATIVE_TTL_SECS as Micros * SECOND);
    assert_eq!(conditions(&back), [Condition::Up]);
    assert!(back[0].entry.ready_at > 1000 * SECOND, "whoever turns up later has started then");
}

#[test]
fn a_failing_resolver_takes_hosts_away_only_long_after_their_time() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.fails = Some(ResponseCode::ServFail);
    assert_eq!(rig.pass(100 * SECOND + MAX_STALE_US - 2), [], "the longest records hold for 100 s");
    assert_eq!(conditions(&rig.pass(MAX_RETRY_DELAY_US)), [Condition::Draining]);
    let asked = rig.asked;
    rig.pass(40 * SECOND);
    assert!(rig.asked - asked <= 4 * 11, "failures are paced: {}", rig.asked - asked);
}

#[test]
fn a_new_port_is_a_new_process_and_txt_tells_of_draining() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.records[2].2 = srv(0, 7002);
    let news = rig.pass(80 * SECOND);
    assert_eq!((news.len(), news[0].address.port()), (1, 7002));
    assert!(news[0].entry.ready_at > 0);
    rig.records[3].2 = txt(&["state=draining"]);
    assert_eq!(conditions(&rig.pass(80 * SECOND)), [Condition::Draining]);
}

#[test]
fn an_answer_to_another_query_is_passed_over() {
    let mut rig = Rig::new();
    let query = rig.browser.due(rig.now).remove(0);
    let mut message = Message::from_vec(&query).unwrap().into_response();
    message.metadata.id ^= 1;
    message.add_answer(Record::from_rdata(name("s.test"), 9, ptr("evil.s.test")));
    rig.browser.answer(rig.now, &message.to_vec().unwrap());
    assert!(rig.browser.instances(rig.now).is_empty());
}

#[test]
fn a_truncated_answer_is_asked_for_over_tcp_and_waited_for() {
    let mut rig = Rig::new();
    let query = rig.browser.due(rig.now).remove(0);
    let mut message = Message::from_vec(&query).unwrap().into_response();
    message.metadata.truncation = true;
    rig.browser.answer(rig.now, &message.to_vec().unwrap());
    assert_eq!(std::mem::take(&mut rig.browser.over_tcp), [query]);
    message.metadata.truncation = false;
    message.add_answer(Record::from_rdata(name("s.test"), 9, ptr("a.s.test")));
    rig.browser.answer(rig.now, &message.to_vec().unwrap());
    assert_eq!(rig.browser.instances(rig.now), [name("a.s.test")]);
}

/// An instance whose name is still given, but whose place or address is not, can't be reached by any new connection: it
/// drains as one that is named no longer, and is back in service when it is told again.
#[rstest]
#[case::no_place("a.s.test", 81)]
#[case::no_address("box.test", 9)]
fn an_instance_without_a_place_or_an_address_drains(#[case] owner: &str, #[case] asked_by: Micros) {
    let mut rig = Rig::new();
    rig.pass(0);
    let whole = rig.records.clone();
    rig.records.retain(|(of, _, data)| *of != owner || data.record_type() == RecordType::TXT);
    assert_eq!(conditions(&rig.pass(asked_by * SECOND)), [Condition::Draining]);
    rig.records = whole;
    assert_eq!(conditions(&rig.pass(DRAIN_TIME_US - SECOND)), [Condition::Up]);
    assert_eq!(conditions(&rig.pass(2 * DRAIN_TIME_US)), []);
}

/// An instance moves to a target whose address has not been asked for: it stays in service until that is known.
#[test]
fn an_instance_that_moves_to_another_target_stays_in_service() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.records[2].2 = RData::SRV(SRV::new(0, 0, 7000, name("other.test")));
    rig.records.push(("other.test", 10, RData::A(A([127, 0, 0, 2].into()))));
    let news = rig.pass(100 * SECOND);
    assert_eq!(conditions(&news), [Condition::Up]);
    assert_eq!(news[0].address, ([127, 0, 0, 2], 7000).into());
}

/// A resolver that says nothing at all: its records stay in use beyond their time, then each host drains, once, and is
/// gone; and it is asked on at the longest pause.
#[test]
fn a_silent_resolver_has_its_hosts_drain_before_they_go() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.silent = true;
    assert_eq!(rig.pass(100 * SECOND + MAX_STALE_US - 2), [], "the longest records hold for 100 s");
    assert_eq!(conditions(&rig.pass(MAX_RETRY_DELAY_US + QUERY_TIMEOUT_US)), [Condition::Draining]);
    assert_eq!(conditions(&rig.pass(DRAIN_TIME_US)), [Condition::Gone]);
    let asked = rig.asked;
    rig.pass(60 * SECOND);
    assert!((4..=4 * 16).contains(&(rig.asked - asked)), "{}", rig.asked - asked);
}

use super::*;
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{RData, Record, RecordType};
use rstest::rstest;

/// A simulated resolver, which answers with records or with an error for all queries.
struct Rig {
    browser: Browser,
    now: Micros,
    records: Vec<(&'static str, u32, RData)>,
    error: Option<ResponseCode>,
    /// Whether no query is answered.
    silent: bool,
    queries: usize,
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
        Self { browser, now: 1000 * SECOND, records, error: None, silent: false, queries: 0 }
    }

    /// Advances the time, and answers all queries as they become due. Returns the changes of the host list.
    fn pass(&mut self, time: Micros) -> Vec<Host> {
        let (end, mut changes) = (self.now + time, Vec::new());
        loop {
            loop {
                let queries = self.browser.due(self.now);
                if queries.is_empty() {
                    break;
                }
                for query in queries {
                    self.queries += 1;
                    if self.silent {
                        continue;
                    }
                    let mut message = Message::from_vec(&query).unwrap().into_response();
                    let question = message.queries[0].clone();
                    for (owner, ttl, data) in &self.records {
                        if name(owner) == *question.name() && data.record_type() == question.query_type() {
                            message.add_answer(Record::from_rdata(name(owner), *ttl, data.clone()));
                        }
                    }
                    if let Some(code) = self.error {
                        message.answers.clear();
                        message.metadata.response_code = code;
                    }
                    self.browser.answer(self.now, &message.to_vec().unwrap());
                }
            }
            changes.extend(self.browser.changes(self.now));
            let next = self.browser.next_tick();
            if next > end {
                self.now = end;
                return changes;
            }
            self.now = self.now.max(next);
        }
    }
}

fn conditions(hosts: &[Host]) -> Vec<Condition> {
    hosts.iter().map(|h| h.entry.condition).collect()
}

#[test]
fn an_instance_is_reported_once_all_its_records_are_known() {
    let changes = Rig::new().pass(SECOND);
    let entry = ListEntry {
        worker: "a.s.test.".into(),
        zone: Some(1),
        cell: Some(3),
        condition: Condition::Up,
        size: 1.0,
        ready_at: 0,
    };
    assert_eq!(changes, [Host { entry, address: ([127, 0, 0, 1], 7000).into() }]);
}

#[test]
fn records_are_renewed_before_they_expire_and_not_more_often() {
    let mut rig = Rig::new();
    rig.pass(0);
    assert_eq!(rig.queries, 4);
    assert_eq!(rig.pass(100 * SECOND), []);
    // The address has a TTL of 10 s and is queried every 8 s; the other three records are queried after 80 s.
    assert_eq!(rig.queries, 4 + 12 + 3);
}

#[test]
fn an_instance_without_a_ptr_record_drains_and_is_removed() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.records.remove(0);
    let changes = rig.pass(80 * SECOND);
    assert_eq!(conditions(&changes), [Condition::Draining]);
    assert_eq!(conditions(&rig.pass(DRAIN_TIME_US)), [Condition::Gone]);
    rig.records.push(("s.test", 100, ptr("a.s.test")));
    let back = rig.pass(MAX_NEGATIVE_TTL_SECS as Micros * SECOND);
    assert_eq!(conditions(&back), [Condition::Up]);
    assert!(back[0].entry.ready_at > 1000 * SECOND, "an instance that appears later has just started");
}

#[test]
fn with_a_failing_resolver_hosts_are_removed_only_long_after_their_records_expire() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.error = Some(ResponseCode::ServFail);
    assert_eq!(rig.pass(100 * SECOND + MAX_STALE_US - 2), [], "the longest TTL is 100 s");
    assert_eq!(conditions(&rig.pass(MAX_RETRY_DELAY_US)), [Condition::Draining]);
    let queries = rig.queries;
    rig.pass(40 * SECOND);
    assert!(rig.queries - queries <= 4 * 11, "queries after failures are limited: {}", rig.queries - queries);
}

#[test]
fn a_new_port_is_a_new_process_and_the_txt_record_reports_draining() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.records[2].2 = srv(0, 7002);
    let changes = rig.pass(80 * SECOND);
    assert_eq!((changes.len(), changes[0].address.port()), (1, 7002));
    assert!(changes[0].entry.ready_at > 0);
    rig.records[3].2 = txt(&["state=draining"]);
    assert_eq!(conditions(&rig.pass(80 * SECOND)), [Condition::Draining]);
}

#[test]
fn an_answer_to_another_query_is_ignored() {
    let mut rig = Rig::new();
    let query = rig.browser.due(rig.now).remove(0);
    let mut message = Message::from_vec(&query).unwrap().into_response();
    message.metadata.id ^= 1;
    message.add_answer(Record::from_rdata(name("s.test"), 9, ptr("evil.s.test")));
    rig.browser.answer(rig.now, &message.to_vec().unwrap());
    assert!(rig.browser.instances(rig.now).is_empty());
}

#[test]
fn a_truncated_answer_is_queried_over_tcp() {
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

/// An instance that still has its PTR record, but no SRV or address record, cannot be reached by new connections. It
/// drains like one without a PTR record, and returns into service with its records.
#[rstest]
#[case::no_srv("a.s.test", 81)]
#[case::no_address("box.test", 9)]
fn an_instance_without_srv_or_address_record_drains(#[case] owner: &str, #[case] queried_by: Micros) {
    let mut rig = Rig::new();
    rig.pass(0);
    let whole = rig.records.clone();
    rig.records.retain(|(of, _, data)| *of != owner || data.record_type() == RecordType::TXT);
    assert_eq!(conditions(&rig.pass(queried_by * SECOND)), [Condition::Draining]);
    rig.records = whole;
    assert_eq!(conditions(&rig.pass(DRAIN_TIME_US - SECOND)), [Condition::Up]);
    assert_eq!(conditions(&rig.pass(2 * DRAIN_TIME_US)), []);
}

/// An instance moves to a target whose address has not been queried yet: it stays in service until that is known.
#[test]
fn an_instance_that_moves_to_another_target_stays_in_service() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.records[2].2 = RData::SRV(SRV::new(0, 0, 7000, name("other.test")));
    rig.records.push(("other.test", 10, RData::A(A([127, 0, 0, 2].into()))));
    let changes = rig.pass(100 * SECOND);
    assert_eq!(conditions(&changes), [Condition::Up]);
    assert_eq!(changes[0].address, ([127, 0, 0, 2], 7000).into());
}

/// A resolver does not answer at all: expired records stay in use for a while, then each host drains, once, and is
/// removed. The resolver is queried further at the maximum delay.
#[test]
fn with_a_silent_resolver_hosts_drain_before_they_are_removed() {
    let mut rig = Rig::new();
    rig.pass(0);
    rig.silent = true;
    assert_eq!(rig.pass(100 * SECOND + MAX_STALE_US - 2), [], "the longest TTL is 100 s");
    assert_eq!(conditions(&rig.pass(MAX_RETRY_DELAY_US + QUERY_TIMEOUT_US)), [Condition::Draining]);
    assert_eq!(conditions(&rig.pass(DRAIN_TIME_US)), [Condition::Gone]);
    let queries = rig.queries;
    rig.pass(60 * SECOND);
    assert!((4..=4 * 16).contains(&(rig.queries - queries)), "{}", rig.queries - queries);
}

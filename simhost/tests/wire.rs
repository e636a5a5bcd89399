//! Runs the adapter's binary and compares its output with the expected lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"Clients":{"MarksRetry":true},"Discovery":"automatic","Family":"warm","FamilyInfo":
{"IfCold":"load","KeepUs":8000000,"PlacementCalls":true,"SaysWarm":true,"NewKey":[1]},"GroupSize":2,"Limits":
{"Cancel":true,"MaxAttempts":4,"MaxRetryAfterUs":1000000,"RetryAfter":true},"Profiles":[{"AimUs":500000,
"GiveUpUs":2000000,"Effect":"safe","Importance":1.0,"Name":"quick"},{"AimUs":500000,"GiveUpUs":2000000,
"Effect":"unsafe","Importance":2.0,"Name":"once"}],"Rules":{"AnswerSlackUs":8000,"ColdFrom":0.2,"ColdUs":9000000,
"DrainGraceUs":1000000,"FallMultiple":2.0,"FallUs":2000000},"Unheard":{"of":1}}"#;

/// Runs the adapter on this input until it exits.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wheellink-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write may fail, as the adapter exits at an invalid line.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Lines that create an instance and give it a list of one host.
fn create(i: u32) -> String {
    let options = OPTIONS.replace('\n', "");
    format!(
        "{{\"event_type\":\"CREATE\",\"I\":{i},\"RngSeed\":5,\"Options\":{options}}}\n{{\"event_type\":\"SYNC\",\
         \"I\":{i},\"Scope\":\"cached\",\"Stamp\":1,\"Members\":[{{\"Server\":\"s_a\",\"Locality\":\"z\",\
         \"Type\":\"k\",\"Pod\":0,\"Condition\":\"U\",\"Size\":1}}]}}\n"
    )
}

/// Lines of a batch.
fn batch(n: u32, events: &str) -> String {
    format!(
        "{{\"event_type\":\"MARK\",\"TsUs\":{},\"n\":{n}}}\n{events}{{\"event_type\":\"FLUSH\"}}\n",
        n * 10_000
    )
}

/// Line of an arriving request, r1.
fn ingress(i: u32, class: &str) -> String {
    format!(
        "{{\"event_type\":\"INGRESS\",\"I\":{i},\"RequestId\":\"r1\",\"Cls\":\"{class}\",\"Callee\":\"00ff\",\
         \"DueUs\":2000000,\"RamMb\":10,\"Concurrency\":2}}\n"
    )
}

/// Output of a run that must succeed.
fn out(input: &str) -> String {
    let run = run(input);
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    String::from_utf8(run.stdout).unwrap()
}

#[test]
fn empty_batch_is_answered_with_its_number() {
    assert_eq!(out(&batch(7, "")), "{\"event_type\":\"YIELD\",\"n\":7}\n");
}

#[test]
fn empty_input_succeeds_without_output() {
    assert_eq!(out(""), "");
}

#[test]
fn request_is_sent_and_its_failure_is_answered() {
    let answer = "{\"event_type\":\"ANSWER\",\"I\":3,\"RequestId\":\"r1\",\"Ending\":\"overdue\",\"Leg\":0,\
                  \"Server\":\"s_a\",\"DurationUs\":10,\"NewField\":1}\n";
    let input = batch(1, &create(3)) + &batch(2, &ingress(3, "once")) + &batch(3, answer);
    let expected = [
        r#"{"AlarmTimeUs":110000,"I":3,"Tag":"wake","event_type":"WAKE_ME"}"#,
        r#"{"event_type":"YIELD","n":1}"#,
        r#"{"I":3,"RequestId":"r1","Server":"s_a","TimeoutUs":0,"event_type":"ATTEMPT"}"#,
        r#"{"event_type":"YIELD","n":2}"#,
        r#"{"I":3,"RequestId":"r1","event_type":"SURRENDER"}"#,
        r#"{"event_type":"YIELD","n":3}"#,
        "",
    ];
    assert_eq!(out(&input), expected.join("\n"));
}

#[test]
fn instance_recreated_within_one_batch_has_no_state() {
    let recreate = "{\"event_type\":\"DESTROY\",\"I\":3}\n".to_string() + &create(3);
    let input = batch(1, &create(3)) + &batch(2, &ingress(3, "quick")) + &batch(3, &recreate);
    let text = out(&(input + &batch(4, &ingress(3, "quick"))));
    assert_eq!(text.matches("ATTEMPT").count(), 2, "the new instance must not know r1:\n{text}");
}

#[test]
fn instances_do_not_affect_each_other() {
    let alone = out(&(batch(1, &create(1)) + &batch(2, &ingress(1, "quick"))));
    let both =
        out(&(batch(1, &(create(1) + &create(2))) + &batch(2, &(ingress(2, "once") + &ingress(1, "quick")))));
    let of_first: Vec<_> = both.lines().filter(|l| l.contains("\"I\":1") || l.contains("YIELD")).collect();
    assert_eq!(of_first, alone.lines().collect::<Vec<_>>());
}

#[test]
fn unused_events_are_ignored() {
    let events = "{\"event_type\":\"NOTE_FROM\",\"I\":3,\"Who\":1,\"Octets\":\"x\"}\n\
                  {\"event_type\":\"CHECKED\",\"I\":3,\"Server\":\"s_a\",\"Ending\":\"completed\",\"DurationUs\":5}\n";
    let text = out(&(batch(1, &create(3)) + &batch(2, events)));
    assert!(text.ends_with("{\"event_type\":\"YIELD\",\"n\":2}\n"));
}

#[test]
fn invalid_input_gets_a_message_of_one_line() {
    let started = batch(1, &create(3));
    let cases = [
        ("nonsense\n".to_string(), vec!["line 1", "not JSON"]),
        ("{\"a\":1}\n".to_string(), vec!["line 1", "event_type"]),
        (batch(1, "{\"event_type\":\"WHAT\",\"I\":3}\n"), vec!["line 2", "WHAT"]),
        (batch(1, "{\"event_type\":\"DROPPED\",\"I\":3}\n"), vec!["line 2", "DROPPED", "RequestId"]),
        (batch(1, &ingress(9, "quick")), vec!["line 2", "INGRESS", "no instance 9"]),
        (started.clone() + &batch(2, &ingress(3, "other")), vec!["line 6", "INGRESS", "unknown Cls"]),
        (
            started.clone()
                + &batch(
                    2,
                    "{\"event_type\":\"ANSWER\",\"I\":3,\"RequestId\":\"r\",\"Ending\":\"gone\",\"Server\":\"s\"}\n",
                ),
            vec!["line 6", "ANSWER", "unknown Ending"],
        ),
        (
            started + &batch(2, "{\"event_type\":\"SYNC\",\"I\":3,\"Scope\":\"odd\",\"Members\":[]}\n"),
            vec!["line 6", "SYNC", "unknown Scope"],
        ),
        (
            batch(1, &create(3).replace("\"KeepUs\":8000000", "\"KeepUs\":-1")),
            vec!["line 2", "CREATE", "negative time"],
        ),
    ];
    for (input, parts) in cases {
        let run = run(&input);
        let error = String::from_utf8(run.stderr).unwrap();
        assert!(!run.status.success(), "{parts:?}");
        assert_eq!(error.lines().count(), 1, "{error}");
        parts.iter().for_each(|p| assert!(error.contains(p), "{p:?} not in {error}"));
    }
}

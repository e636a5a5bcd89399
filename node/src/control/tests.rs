//! Tests of `control` that need its private state.

use super::*;
use crate::ring::Ring;
use rstest::rstest;

fn read(method: &str, path: &str, body: &str) -> Result<Command, u16> {
    let mut ring = Ring::new(INBOX_BYTES);
    let length = body.len();
    ring.push(
        format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes(),
    );
    match http::next_request(&mut ring, MAX_BODY_BYTES) {
        Ok(Parsed::Whole(request)) => parse_command(&request).map_err(|r| r.status),
        other => panic!("{other:?}"),
    }
}

fn host(out: bool) -> Command {
    Command::Host { id: "s-00c41f7a".into(), out }
}

#[rstest]
#[case::status("GET", "/status", "", Ok(Command::Status))]
#[case::enter("POST", "/maintenance/enter", r#"{"host":"s-00c41f7a"}"#, Ok(host(true)))]
#[case::exit("POST", "/maintenance/exit", r#"{"why":1, "host":"s-00c41f7a"}"#, Ok(host(false)))]
#[case::standby("POST", "/standby", "", Ok(Command::Standby(true)))]
#[case::active("POST", "/active", "{}", Ok(Command::Standby(false)))]
#[case::unknown("GET", "/", "", Err(404))]
#[case::method("GET", "/standby", "", Err(405))]
#[case::post_status("POST", "/status", "", Err(405))]
#[case::no_body("POST", "/maintenance/enter", "", Err(400))]
#[case::no_host("POST", "/maintenance/enter", r#"{"id":"x"}"#, Err(400))]
#[case::empty_host("POST", "/maintenance/exit", r#"{"host":""}"#, Err(400))]
#[case::no_text("POST", "/maintenance/exit", r#"{"host":7}"#, Err(400))]
#[case::rollout("GET", "/rollout", "", Ok(Command::Rollout(RolloutCommand::Show)))]
#[case::begin("POST", "/rollout", "", Ok(Command::Rollout(RolloutCommand::Begin(None))))]
#[case::step("POST", "/rollout/step", "", Ok(Command::Rollout(RolloutCommand::Step(None))))]
#[case::step_to("POST", "/rollout/step", r#"{"to":3}"#, Ok(Command::Rollout(RolloutCommand::Step(Some(3)))))]
#[case::back("POST", "/rollout/back", " ", Ok(Command::Rollout(RolloutCommand::Back)))]
#[case::no_plan("POST", "/rollout", r#"{"name":"x","step":[]}"#, Err(400))]
#[case::no_json("POST", "/rollout", "plan", Err(400))]
#[case::step_nowhere("POST", "/rollout/step", r#"{"to":-1}"#, Err(400))]
#[case::step_word("POST", "/rollout/step", r#"{"too":1}"#, Err(400))]
#[case::get_back("GET", "/rollout/back", "", Err(405))]
#[case::elsewhere("POST", "/rollout/forward", "", Err(404))]
#[case::admission("GET", "/admission", "", Ok(Command::Admission(AdmissionCommand::Show)))]
#[case::block("POST", "/admission/block", r#"{"prefix":"10.0.0.0/8"}"#, Ok(Command::Admission(AdmissionCommand::Block("10.0.0.0/8".parse().unwrap()))))]
#[case::no_prefix("POST", "/admission/block", "", Err(400))]
#[case::bad_prefix("POST", "/admission/known", r#"{"prefix":"10.0.0.1/8"}"#, Err(400))]
#[case::turns("GET", "/turns", "", Ok(Command::Turns))]
#[case::post_turns("POST", "/turns", "", Err(405))]
#[case::get_block("GET", "/admission/block", "", Err(405))]
#[case::drafts("GET", "/drafts", "", Ok(Command::Drafts))]
#[case::post_drafts("POST", "/drafts", "", Err(405))]
#[case::accord("GET", "/accord", "", Ok(Command::Accord(None)))]
#[case::change("POST", "/accord", r#"{"base":7}"#, Ok(Command::Accord(Some(Box::new(Change { base: 7, ..Change::default() })))))]
#[case::no_base("POST", "/accord", r#"{"set":{}}"#, Err(400))]
#[case::cut("POST", "/maintenance/exit", r#"{"host":"a"#, Err(400))]
fn a_request_is_parsed_or_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] wanted: Result<Command, u16>,
) {
    assert_eq!(read(method, path, body), wanted);
}

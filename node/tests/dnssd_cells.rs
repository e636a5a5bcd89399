//! The cells that DNS-SD gives, in the invoke front: a keyed call that may have run is repeated in its cell only.

mod common;

use common::*;
use rstest::rstest;

/// The status that a keyed call gets whose runs end in errors, and how many of the two hosts it ran at. The TXT records
/// of the hosts have these attributes.
fn call_failing_hosts(texts: [&str; 2]) -> (u16, usize, Program) {
    let (a, b) = (Host::warm(), Host::warm());
    let resolver = Resolver::start(&[&a, &b]);
    for (instance, attributes) in resolver.zone.lock().unwrap().instances.iter_mut().zip(texts) {
        instance.2 = attributes.split_whitespace().map(String::from).collect();
    }
    let program = Program::start(&operator_file(resolver.address), true);
    let mut functions = 0;
    wait_for("both hosts", || {
        functions += 1;
        program.http(&call(&format!("f{functions}"), "check-score", &[], "x"));
        a.calls() > 0 && b.calls() > 0
    });
    for host in [&a, &b] {
        host.ways.lock().unwrap().does = Does::Answer("500");
    }
    let reply = program.http(&call("answers", "save-answers", &[], "keyed"));
    let ran_at = [&a, &b].iter().filter(|host| host.runs("keyed") > 0).count();
    (reply.status, ran_at, program)
}

/// The review found that cells as words, or none, made one cell of all hosts: the answers were saved in two.
#[rstest]
#[case::words(["cell=north", "cell=south"])]
#[case::the_same_word(["cell=north", "cell=north"])]
#[case::absent(["size=1", "size=1"])]
#[case::one_absent(["cell=1", "size=1"])]
#[case::other_numbers(["cell=1", "cell=2"])]
fn a_keyed_call_runs_in_one_cell_only(#[case] texts: [&str; 2]) {
    let (status, ran_at, _program) = call_failing_hosts(texts);
    assert_eq!((status, ran_at), (502, 1));
}

#[test]
fn a_keyed_call_is_repeated_within_its_cell() {
    let (_, ran_at, _program) = call_failing_hosts(["cell=1", "cell=1"]);
    assert_eq!(ran_at, 2);
}

/// "A malformed record must be reported and ignored": once for each host, not with each renewal.
#[test]
fn attributes_that_make_no_sense_are_reported_once() {
    let (_, _, program) = call_failing_hosts(["cell=north size=big", "cell=south"]);
    // Records are valid for 1 s and renewed meanwhile.
    std::thread::sleep(ms(2500));
    for part in ["cell=\"north\" is ignored", "cell=\"south\" is ignored", "size=\"big\" is ignored"] {
        assert_eq!(program.logged(part), 1, "{part}");
    }
}

//! Tests with short scenarios, including faults that only a real process can have. The program runs on sockets and is
//! checked by the oracle; one scenario is also simulated, and the results are compared.

use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sim::Sim;
use opalpulley_lab::sockets::run::{run, SocketRunOptions};
use opalpulley_lab::subject::ForwarderVariant;
use opalpulley_lab::tally::Outcome;

fn run_on_sockets(scenario: &Scenario, seed: u64) -> Outcome {
    let options = SocketRunOptions {
        program: env!("CARGO_BIN_EXE_opalpulley-forwarder").into(),
        log_folder: None,
        pinned_core: None,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let (outcome, _) = runtime
        .block_on(run(scenario, seed, &options, |_, _| {}))
        .expect("the program starts");
    outcome
}

fn scenario(lasts: &str, extra_sections: &str) -> Scenario {
    let text = format!(
        "version = 1\nname = \"short\"\nshows = \"s\"\nlasts = \"{lasts}\"\n{extra_sections}\n[[profiles]]\nname = \"keyed\"\n\
         effect = \"fingerprinted\"\nwindow = \"6s\"\ncontract_time = \"1s\"\nexpiry = \"6s\"\n[[profiles]]\nname = \"once\"\n\
         effect = \"binding\"\ncontract_time = \"1s\"\nexpiry = \"6s\"\n"
    );
    Scenario::read(&text, "short").expect("the scenario is valid")
}

/// Checks what must hold on a machine of any speed: no rule is broken, each message has one end, and most are served.
fn assert_rules_hold(outcome: &Outcome, min_served_share: f64) {
    assert!(
        outcome.broken.is_empty(),
        "expected no broken rule, got {:#?}",
        outcome.breaks
    );
    let counts = &outcome.counts;
    assert_eq!(
        counts.served + counts.failed + counts.given_up + counts.gone,
        counts.due,
        "expected one end for each due message, got {counts:?}"
    );
    assert!(
        outcome.served_share() >= min_served_share,
        "share of served messages is {}, expected at least {min_served_share}: {counts:?}",
        outcome.served_share()
    );
}

/// Kills with and without the state folder, a paused process and a drain: each message has exactly one end.
#[test]
fn breaks_no_rule_under_kills_pauses_and_drains() {
    let scenario = scenario(
        "8s",
        "[forwarders]\ncount = 3\n[[destinations]]\nname = \"d\"\ncount = 3\ntargets = 2\nrate = 60.0\nlimited = false\n\
         service = { kind = \"exponential\", mean = \"30ms\" }\n[[loads]]\nrate = 60.0\n\
         [[troubles]]\nat = \"1s\"\nlasts = \"1s\"\nwhat = { kind = \"killed\", folder = true }\non = { forwarders = [0] }\n\
         [[troubles]]\nat = \"3s\"\nlasts = \"1s\"\nwhat = { kind = \"killed\", folder = false }\non = { forwarders = [1] }\n\
         [[troubles]]\nat = \"4s\"\nlasts = \"1s\"\nwhat = { kind = \"paused\" }\non = { forwarders = [2] }\n\
         [[troubles]]\nat = \"2s\"\nlasts = \"4s\"\nwhat = { kind = \"drain\" }\non = { numbers = [0] }\n",
    );
    assert_rules_hold(&run_on_sockets(&scenario, 1), 0.8);
}

/// Guards against a message that is sent again while its earlier call is out: errors whose bodies keep coming, until the
/// forwarder closes their connections.
#[test]
fn sends_no_second_copy_while_an_error_keeps_coming() {
    let scenario = scenario(
        "4s",
        "[forwarders]\ncount = 1\n[[destinations]]\nname = \"d\"\ncount = 4\ntargets = 2\nrate = 60.0\nlimited = false\n\
         service = { kind = \"exponential\", mean = \"30ms\" }\n[[loads]]\nrate = 40.0\n\
         [[troubles]]\nat = \"0s\"\nlasts = \"3s\"\nwhat = { kind = \"errors-endless\", rate = 0.2 }\n",
    );
    let outcome = run_on_sockets(&scenario, 1);
    assert_rules_hold(&outcome, 0.8);
    assert!(
        outcome.counts.outcomes.contains_key("error"),
        "expected errors, got {:?}",
        outcome.counts
    );
}

/// Forwarders restart while discovery is down. They accept messages, and send them once discovery has answered.
#[test]
fn serves_the_messages_of_a_restart_after_an_outage_of_discovery() {
    let scenario = scenario(
        "5s",
        "[forwarders]\ncount = 2\n[[destinations]]\nname = \"d\"\ncount = 3\ntargets = 2\nrate = 60.0\nlimited = false\n\
         service = { kind = \"exponential\", mean = \"30ms\" }\n[[loads]]\nrate = 40.0\n\
         [[troubles]]\nat = \"1s\"\nlasts = \"3s\"\nwhat = { kind = \"discovery-down\" }\n\
         [[troubles]]\nat = \"1500ms\"\nlasts = \"500ms\"\nwhat = { kind = \"killed\", folder = true }\non = { forwarders = [0] }\n",
    );
    let outcome = run_on_sockets(&scenario, 1);
    assert_rules_hold(&outcome, 0.9);
    let unanswered = outcome.counts.outcomes.get("list request: unanswered");
    assert!(
        unanswered.is_some_and(|count| *count > 0),
        "expected unanswered requests for the list, got {:?}",
        outcome.counts
    );
}

/// Rejections, silence, invalid responses and retry-after on sockets, compared with a simulation of the same scenario.
#[test]
fn sockets_and_simulation_agree_under_faults() {
    let scenario = scenario(
        "8s",
        "[forwarders]\ncount = 2\n[[destinations]]\nname = \"d\"\ncount = 4\nrate = 40.0\nwait = \"300ms\"\nerrors = 0.03\n\
         service = { kind = \"exponential\", mean = \"30ms\" }\n[[loads]]\nrate = 60.0\n\
         [[troubles]]\nat = \"1s\"\nlasts = \"2s\"\nwhat = { kind = \"refusing\" }\non = { numbers = [0] }\n\
         [[troubles]]\nat = \"2s\"\nlasts = \"2s\"\nwhat = { kind = \"silent\" }\non = { numbers = [1] }\n\
         [[troubles]]\nat = \"3s\"\nlasts = \"2s\"\nwhat = { kind = \"garbled\", rate = 0.3 }\non = { numbers = [2] }\n\
         [[troubles]]\nat = \"3s\"\nlasts = \"2s\"\nwhat = { kind = \"shut\" }\non = { numbers = [3] }\n\
         [[troubles]]\nat = \"3s\"\nlasts = \"3s\"\nwhat = { kind = \"refusals-cut\", rate = 0.5 }\n",
    );
    let on_sockets = run_on_sockets(&scenario, 2);
    assert_rules_hold(&on_sockets, 0.75);
    let simulated = Sim::new(&scenario, 2, ForwarderVariant::True)
        .expect("the simulation is created")
        .run(|_, _| {});
    assert_rules_hold(&simulated, 0.75);
    assert_eq!(
        on_sockets.counts.due, simulated.counts.due,
        "expected the same number of due messages on sockets and in the simulation"
    );
    let difference = (on_sockets.served_share() - simulated.served_share()).abs();
    assert!(
        difference < 0.12,
        "expected shares of served messages that differ by less than 0.12, got {} on sockets and {} in the simulation",
        on_sockets.served_share(),
        simulated.served_share()
    );
}

//! The real program in the laboratory's world, on sockets: short scenarios with the troubles that only a process can have,
//! judged by the oracle, and beside them the same world simulated.

use opalpulley_lab::scenario::Scenario;
use opalpulley_lab::sim::Sim;
use opalpulley_lab::sockets::run::{run, SocketRunOptions};
use opalpulley_lab::subject::ForwarderVariant;
use opalpulley_lab::tally::Outcome;

fn on_sockets(scenario: &Scenario, seed: u64) -> Outcome {
    let options = SocketRunOptions {
        program: env!("CARGO_BIN_EXE_opalpulley-forwarder").into(),
        log_folder: None,
        pinned_core: None,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let (outcome, _) = runtime
        .block_on(run(scenario, seed, &options, |_, _| {}))
        .expect("it runs");
    outcome
}

fn scenario(lasts: &str, more: &str) -> Scenario {
    let text = format!(
        "version = 1\nname = \"short\"\nshows = \"s\"\nlasts = \"{lasts}\"\n{more}\n[[profiles]]\nname = \"keyed\"\n\
         effect = \"fingerprinted\"\nwindow = \"6s\"\ncontract_time = \"1s\"\nexpiry = \"6s\"\n[[profiles]]\nname = \"once\"\n\
         effect = \"binding\"\ncontract_time = \"1s\"\nexpiry = \"6s\"\n"
    );
    Scenario::read(&text, "short").expect("it is right")
}

/// What must hold on a machine of any speed: the rules, one end for each message, most of them served.
fn judge(outcome: &Outcome, least: f64) {
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.breaks);
    let c = &outcome.counts;
    assert_eq!(c.served + c.failed + c.given_up + c.gone, c.due, "{c:?}");
    assert!(
        outcome.served_share() >= least,
        "served {}: {c:?}",
        outcome.served_share()
    );
}

/// Kills with and without the folder, a process that stands still, a drain: each message has its one end.
#[test]
fn killed_stopped_and_drained_it_keeps_the_rules_and_serves() {
    let scenario = scenario(
        "8s",
        "[forwarders]\ncount = 3\n[[destinations]]\nname = \"d\"\ncount = 3\ntargets = 2\nrate = 60.0\nlimited = false\n\
         service = { kind = \"exponential\", mean = \"30ms\" }\n[[loads]]\nrate = 60.0\n\
         [[troubles]]\nat = \"1s\"\nlasts = \"1s\"\nwhat = { kind = \"killed\", folder = true }\non = { forwarders = [0] }\n\
         [[troubles]]\nat = \"3s\"\nlasts = \"1s\"\nwhat = { kind = \"killed\", folder = false }\non = { forwarders = [1] }\n\
         [[troubles]]\nat = \"4s\"\nlasts = \"1s\"\nwhat = { kind = \"paused\" }\non = { forwarders = [2] }\n\
         [[troubles]]\nat = \"2s\"\nlasts = \"4s\"\nwhat = { kind = \"drain\" }\non = { numbers = [0] }\n",
    );
    judge(&on_sockets(&scenario, 1), 0.8);
}

/// Refusals, silence, spoilt answers and waits on sockets; beside it the same world simulated.
#[test]
fn a_troubled_world_looks_the_same_on_both_clocks() {
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
    let real = on_sockets(&scenario, 2);
    judge(&real, 0.75);
    let simulated = Sim::new(&scenario, 2, ForwarderVariant::True)
        .expect("it starts")
        .run(|_, _| {});
    judge(&simulated, 0.75);
    assert_eq!(
        real.counts.due, simulated.counts.due,
        "the same packets on both clocks"
    );
    let apart = (real.served_share() - simulated.served_share()).abs();
    assert!(
        apart < 0.12,
        "served {} on sockets, {} simulated",
        real.served_share(),
        simulated.served_share()
    );
}

use super::*;
use crate::scenario::Span;

fn scenario_with_load(load: &str) -> Scenario {
    let text = format!(
        "version = 1\nname = \"s\"\nshows = \"s\"\nlasts = \"100s\"\n[[destinations]]\nname = \"d\"\ncount = 8\n\
         rate = 10.0\nservice = {{ kind = \"constant\", time = \"1ms\" }}\n[[loads]]\n{load}\n"
    );
    Scenario::read(&text, "s").expect("the scenario is valid")
}

fn draw_messages(load: &str, seed: u64) -> Vec<DueMessage> {
    let scenario = scenario_with_load(load);
    Loads::new(&scenario, &Layout::new(&scenario), seed)
        .expect("the load is valid")
        .collect()
}

#[test]
fn draws_equal_messages_in_time_order_from_equal_seeds() {
    let load = "rate = 50.0\nskew = 1.2";
    let (first, repeated, other_seed) = (
        draw_messages(load, 1),
        draw_messages(load, 1),
        draw_messages(load, 2),
    );
    assert!(first == repeated && first != other_seed);
    assert!(first.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(
        (4600..5400).contains(&first.len()),
        "expected about 5000 messages, got {}",
        first.len()
    );
    let count_of = |destination: u32| {
        first
            .iter()
            .filter(|message| message.destination == destination)
            .count()
    };
    assert!(
        count_of(0) > 2 * count_of(2) && count_of(2) > count_of(7),
        "the destinations follow a Zipf distribution"
    );
}

#[test]
fn draws_messages_at_the_times_that_the_shape_gives() {
    let bursts = draw_messages(
        "rate = 10.0\nshape = { kind = \"bursts\", on = \"1s\", off = \"9s\", times = 20.0 }",
        3,
    );
    assert!(bursts
        .iter()
        .all(|message| message.at % 10_000_000 < 1_000_000));
    assert!(
        (1700..2300).contains(&bursts.len()),
        "expected about 2000 messages, got {}",
        bursts.len()
    );
    let steps = draw_messages(
        "rate = 10.0\nshape = { kind = \"steps\", steps = [[\"50s\", 5.0]] }",
        3,
    );
    let late_count = steps
        .iter()
        .filter(|message| message.at >= 50_000_000)
        .count();
    assert!(
        (2200..2800).contains(&late_count) && steps.len() - late_count < 600,
        "expected about 2500 messages after the step and 500 before it, got {late_count} after it of {} in all",
        steps.len()
    );
    let even = draw_messages("rate = 4.0\nshape = { kind = \"even\" }", 3);
    assert_eq!(even.len(), 399);
    assert_eq!(Span(even[1].at - even[0].at), Span(250_000));
}

#[test]
fn replays_times_from_a_file_and_reports_the_line_of_a_malformed_time() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let file = directory.path().join("times.csv");
    let load = format!("rate = 1.0\nshape = {{ kind = \"replay\", file = {file:?} }}");
    std::fs::write(&file, "# times\n2.5, 3\n0.25\n").expect("the replay file is written");
    let messages = draw_messages(&load, 1);
    assert_eq!(
        messages
            .iter()
            .map(|message| message.at)
            .collect::<Vec<_>>(),
        [250_000, 2_500_000]
    );
    assert_eq!(messages[1].destination, 3);
    std::fs::write(&file, "1.0\nsoon\n").expect("the replay file is written");
    let scenario = scenario_with_load(&load);
    let error = Loads::new(&scenario, &Layout::new(&scenario), 1)
        .err()
        .expect("the second line is not a time");
    assert!(error.to_string().contains(":2:"), "{error}");
}

use super::*;
use crate::scenario::Span;

fn scenario(load: &str) -> Scenario {
    let text = format!(
        "version = 1\nname = \"s\"\nshows = \"s\"\nlasts = \"100s\"\n[[destinations]]\nname = \"d\"\ncount = 8\n\
         rate = 10.0\nservice = {{ kind = \"constant\", time = \"1ms\" }}\n[[loads]]\n{load}\n"
    );
    Scenario::read(&text, "s").expect("it is right")
}

fn drawn(load: &str, seed: u64) -> Vec<Due> {
    let scenario = scenario(load);
    Loads::new(&scenario, &Layout::new(&scenario), seed)
        .expect("it loads")
        .collect()
}

#[test]
fn the_same_seed_draws_the_same_messages_in_order_of_time() {
    let load = "rate = 50.0\nskew = 1.2";
    let (a, b, c) = (drawn(load, 1), drawn(load, 1), drawn(load, 2));
    assert!(a == b && a != c);
    assert!(a.windows(2).all(|w| w[0].at <= w[1].at));
    assert!((4600..5400).contains(&a.len()), "{}", a.len());
    let of = |d: u32| a.iter().filter(|p| p.destination == d).count();
    assert!(of(0) > 2 * of(2) && of(2) > of(7), "Zipf");
}

#[test]
fn shapes_put_their_messages_where_they_belong() {
    let bursts = drawn(
        "rate = 10.0\nshape = { kind = \"bursts\", on = \"1s\", off = \"9s\", times = 20.0 }",
        3,
    );
    assert!(bursts.iter().all(|p| p.at % 10_000_000 < 1_000_000));
    assert!((1700..2300).contains(&bursts.len()), "{}", bursts.len());
    let steps = drawn(
        "rate = 10.0\nshape = { kind = \"steps\", steps = [[\"50s\", 5.0]] }",
        3,
    );
    let late = steps.iter().filter(|p| p.at >= 50_000_000).count();
    assert!(
        (2200..2800).contains(&late) && steps.len() - late < 600,
        "{late} of {}",
        steps.len()
    );
    let even = drawn("rate = 4.0\nshape = { kind = \"even\" }", 3);
    assert_eq!(even.len(), 399);
    assert_eq!(Span(even[1].at - even[0].at), Span(250_000));
}

#[test]
fn times_are_replayed_and_what_is_wrong_in_them_is_told_with_its_line() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("times.csv");
    let load = format!("rate = 1.0\nshape = {{ kind = \"replay\", file = {file:?} }}");
    std::fs::write(&file, "# times\n2.5, 3\n0.25\n").expect("written");
    let messages = drawn(&load, 1);
    assert_eq!(
        messages.iter().map(|p| p.at).collect::<Vec<_>>(),
        [250_000, 2_500_000]
    );
    assert_eq!(messages[1].destination, 3);
    std::fs::write(&file, "1.0\nsoon\n").expect("written");
    let scenario = scenario(&load);
    let bad = Loads::new(&scenario, &Layout::new(&scenario), 1)
        .err()
        .expect("it is wrong");
    assert!(bad.to_string().contains(":2:"), "{bad}");
}

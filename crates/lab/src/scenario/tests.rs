use super::*;

const MINIMAL_SCENARIO: &str = r#"version = 1
name = "small"
shows = "nothing"
lasts = "10s"

[[destinations]]
name = "one"
rate = 50.0
service = { kind = "constant", time = "20ms" }

[[loads]]
rate = 10.0
"#;

#[test]
fn reads_minimal_scenario_with_defaults() {
    let scenario = Scenario::read(MINIMAL_SCENARIO, "small.toml").expect("the scenario is valid");
    assert_eq!(
        (scenario.lasts, scenario.forwarders.count),
        (Span(10_000_000), 1)
    );
    let text = toml::to_string(&scenario).expect("the scenario can be serialized");
    assert_eq!(
        Scenario::read(&text, "again").expect("the serialized scenario is valid"),
        scenario
    );
}

#[test]
fn reports_key_and_line_of_an_invalid_value() {
    let cases = [
        (
            MINIMAL_SCENARIO.replace("rate = 50.0", "rate = 0.0"),
            Some(8),
            "destinations[0].rate",
        ),
        (
            MINIMAL_SCENARIO.replace("rate = 50.0", "rats = 50.0"),
            Some(8),
            "rats",
        ),
        (
            MINIMAL_SCENARIO.replace("\"10s\"", "\"10 parsecs\""),
            Some(4),
            "parsecs",
        ),
        (
            MINIMAL_SCENARIO.replace("version = 1", "version = 2"),
            Some(1),
            "version",
        ),
        (
            format!("{MINIMAL_SCENARIO}destinations = [\"two\"]\n"),
            Some(13),
            "two",
        ),
        (
            MINIMAL_SCENARIO.replace("name = \"one\"", "name = \"one\"\nerrors = 1.5"),
            Some(8),
            "1.5",
        ),
    ];
    for (text, line, expected_text) in cases {
        let error = Scenario::read(&text, "f.toml").expect_err(expected_text);
        assert_eq!(error.line, line, "{error}");
        assert!(error.to_string().contains(expected_text), "{error}");
    }
}

#[test]
fn parses_spans_as_they_are_displayed() {
    for (text, micros) in [
        ("300us", 300),
        ("2.5s", 2_500_000),
        ("1h", 3_600_000_000),
        ("0s", 0),
    ] {
        assert_eq!(Span::parse(text), Ok(Span(micros)));
        assert_eq!(Span::parse(&Span(micros).to_string()), Ok(Span(micros)));
    }
    for text in ["", "5", "s", "-1s", "1e30h", "5 min"] {
        assert!(Span::parse(text).is_err(), "{text} is not a span of time");
    }
}

use super::*;

const SMALL: &str = r#"version = 1
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
fn the_smallest_file_is_read_with_its_defaults() {
    let scenario = Scenario::read(SMALL, "small.toml").expect("it is right");
    assert_eq!(
        (scenario.lasts, scenario.forwarders.count),
        (Span(10_000_000), 1)
    );
    let text = toml::to_string(&scenario).expect("it can be written");
    assert_eq!(
        Scenario::read(&text, "again").expect("it can be read again"),
        scenario
    );
}

#[test]
fn what_is_wrong_is_told_with_key_and_line() {
    let cases = [
        (
            SMALL.replace("rate = 50.0", "rate = 0.0"),
            Some(8),
            "destinations[0].rate",
        ),
        (SMALL.replace("rate = 50.0", "rats = 50.0"), Some(8), "rats"),
        (
            SMALL.replace("\"10s\"", "\"10 parsecs\""),
            Some(4),
            "parsecs",
        ),
        (
            SMALL.replace("version = 1", "version = 2"),
            Some(1),
            "version",
        ),
        (
            format!("{SMALL}destinations = [\"two\"]\n"),
            Some(13),
            "two",
        ),
        (
            SMALL.replace("name = \"one\"", "name = \"one\"\nerrors = 1.5"),
            Some(8),
            "1.5",
        ),
    ];
    for (text, line, word) in cases {
        let bad = Scenario::read(&text, "f.toml").expect_err(word);
        assert_eq!(bad.line, line, "{bad}");
        assert!(bad.to_string().contains(word), "{bad}");
    }
}

#[test]
fn spans_are_read_as_they_are_written() {
    for (text, span) in [
        ("300us", 300),
        ("2.5s", 2_500_000),
        ("1h", 3_600_000_000),
        ("0s", 0),
    ] {
        assert_eq!(Span::parse(text), Ok(Span(span)));
        assert_eq!(Span::parse(&Span(span).to_string()), Ok(Span(span)));
    }
    for text in ["", "5", "s", "-1s", "1e30h", "5 min"] {
        assert!(Span::parse(text).is_err(), "{text}");
    }
}

//! The one line that says why settings can't be used: it names the operators' key, and is the same in each version.

use opalpulley_config::read;

const SETTINGS: &str = r#"{"Balancers": 2, "Domain": {"Fades": "halving", "Workers": 3}, "HostTypes": ["any"],
"Limits": {"MaxAttempts": 6, "MaxOpen": 9}, "Me": 3,
"Profiles": [{"Effect": "free", "GoalTimeUs": 1000000, "HardLimitUs": 9000000, "Points": 1.0}],
"QuantumUs": 5000, "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.2, "DrainGraceUs": 500000, "FallMultiple": 2.0,
"OverloadForUs": 2000000, "WarmAfterUs": 9000000}, "Weights": "nominal"}"#;

fn error_after(replaced: &str, replacement: &str) -> String {
    assert!(SETTINGS.contains(replaced), "{replaced}");
    let text = SETTINGS.replace(replaced, replacement);
    let problem = read(text.as_bytes()).expect_err(replacement);
    problem.to_string()
}

#[test]
fn the_settings_of_these_tests_are_valid() {
    assert!(read(SETTINGS.as_bytes()).is_ok());
}

#[test]
fn a_value_of_a_wrong_type_is_named_with_its_path() {
    let cases = [
        (
            r#"{"Fades": "halving", "Workers": 3}"#,
            r#""""#,
            r#"at Domain: invalid type: string "", expected struct Domain"#,
        ),
        (
            r#""Workers": 3"#,
            r#""Workers": "many""#,
            r#"at Domain.Workers: invalid type: string "many", expected u32"#,
        ),
        (
            r#""Fades": "halving""#,
            r#""Fades": "quartering""#,
            "at Domain.Fades: unknown variant `quartering`, expected `linear` or `halving`",
        ),
        (
            r#"[{"Effect": "free", "#,
            "[{",
            "at Profiles[0]: missing field `Effect`",
        ),
    ];
    for (replaced, replacement, error) in cases {
        let line = error_after(replaced, replacement);
        let (text, position) = line.rsplit_once(" at line ").expect("a position");
        assert_eq!(text, format!("the start object is not valid {error}"));
        assert!(position.contains(" column "), "{line}");
    }
}

#[test]
fn a_figure_of_0_is_named_with_its_key() {
    let cases = [
        (r#""Balancers": 2"#, r#""Balancers": 0"#, "Balancers"),
        (r#""Workers": 3"#, r#""Workers": 0"#, "Domain.Workers"),
        (
            r#""MaxAttempts": 6"#,
            r#""MaxAttempts": 0"#,
            "Limits.MaxAttempts",
        ),
        (r#""MaxOpen": 9"#, r#""MaxOpen": 0"#, "Limits.MaxOpen"),
        (
            r#""HardLimitUs": 9000000"#,
            r#""HardLimitUs": 0"#,
            "Profiles[].HardLimitUs",
        ),
        (
            r#""GoalTimeUs": 1000000"#,
            r#""GoalTimeUs": 0"#,
            "Profiles[].GoalTimeUs",
        ),
    ];
    for (replaced, replacement, key) in cases {
        let expected = format!("{key}: must be above 0");
        assert_eq!(error_after(replaced, replacement), expected);
    }
}

//! Tests the error message for invalid settings. It is one line that names the operators' key, and its text must
//! not change between versions.

use opalpulley_config::parse_settings;

const SETTINGS: &str = r#"{"Balancers": 2, "Domain": {"Fades": "halving", "Workers": 3}, "HostTypes": ["any"],
"Limits": {"MaxAttempts": 6, "MaxOpen": 9}, "Me": 3,
"Profiles": [{"Effect": "free", "GoalTimeUs": 1000000, "HardLimitUs": 9000000, "Points": 1.0}],
"QuantumUs": 5000, "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.2, "DrainGraceUs": 500000, "FallMultiple": 2.0,
"OverloadForUs": 2000000, "WarmAfterUs": 9000000}, "Weights": "nominal"}"#;

fn error_after_replacing(original: &str, replacement: &str) -> String {
    assert!(
        SETTINGS.contains(original),
        "the settings of these tests must contain {original}"
    );
    let text = SETTINGS.replace(original, replacement);
    let error = parse_settings(text.as_bytes()).expect_err(replacement);
    error.to_string()
}

#[test]
fn accepts_settings_of_these_tests() {
    assert!(
        parse_settings(SETTINGS.as_bytes()).is_ok(),
        "the settings of these tests must be valid"
    );
}

#[test]
fn error_names_path_and_position_of_invalid_value() {
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
    for (original, replacement, expected) in cases {
        let message = error_after_replacing(original, replacement);
        let (cause, position) = message
            .rsplit_once(" at line ")
            .expect("the error names the line");
        assert_eq!(cause, format!("the start object is not valid {expected}"));
        assert!(
            position.contains(" column "),
            "the error must name the column: {message}"
        );
    }
}

#[test]
fn rejects_zero_and_names_its_key() {
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
    for (original, replacement, key) in cases {
        let expected = format!("{key}: must be above 0");
        assert_eq!(error_after_replacing(original, replacement), expected);
    }
}

//! Golden cases: inputs and the values that the program gives for them, recorded before a change that must not be seen.
//! A file is a JSON list of objects, each with a `name`, an `input` and the `expected` value.

use serde_json::Value;
use std::path::PathBuf;

/// The path of a file or folder of recorded data.
pub fn path(file: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", file]
        .iter()
        .collect()
}

/// Recorded cases: inputs, and what each gave.
pub struct GoldenCases {
    file: &'static str,
    cases: Vec<Value>,
    compared_count: usize,
    differences: Vec<String>,
}

impl GoldenCases {
    /// Reads the cases of a file.
    pub fn read(file: &'static str) -> GoldenCases {
        let text = std::fs::read(path(file)).expect("the golden file is readable");
        let cases = serde_json::from_slice(&text).expect("the golden file is a list of cases");
        GoldenCases {
            file,
            cases,
            compared_count: 0,
            differences: Vec::new(),
        }
    }

    /// The inputs, in the order of the file.
    pub fn inputs(&self) -> Vec<Value> {
        self.cases
            .iter()
            .map(|case| case["input"].clone())
            .collect()
    }

    /// Compares the value for the next input with the recorded one.
    pub fn compare_next(&mut self, actual: Value) {
        let case = &self.cases[self.compared_count];
        self.compared_count += 1;
        if case["expected"] != actual {
            self.differences.push(format!(
                "{}\nexpected {}\nactual   {actual}",
                case["name"], case["expected"]
            ));
        }
    }

    /// Fails where a value differs from the recorded one, or where a case was not compared.
    pub fn finish(self) {
        assert_eq!(
            self.compared_count,
            self.cases.len(),
            "{}: each case is compared",
            self.file
        );
        assert!(self.compared_count > 0, "{}: there are cases", self.file);
        assert!(
            self.differences.is_empty(),
            "{}:\n{}",
            self.file,
            self.differences.join("\n\n")
        );
    }
}

/// The text of some bytes, as a JSON value. All recorded bytes of the HTTP protocols are text.
pub fn text(bytes: &[u8]) -> Value {
    Value::from(std::str::from_utf8(bytes).expect("the recorded bytes are text"))
}

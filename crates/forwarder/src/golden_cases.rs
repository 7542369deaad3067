//! Golden cases: inputs with the values that the program produced for them, recorded before a change that must not alter
//! them. A file is a JSON list of objects, each with a `name`, an `input` and the `expected` value.

use serde_json::Value;
use std::path::PathBuf;

/// Returns the path of a file or folder of recorded data.
pub fn path(file: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", file]
        .iter()
        .collect()
}

/// The recorded cases of one file, and the differences found so far. Owned by one test.
pub struct GoldenCases {
    file: &'static str,
    cases: Vec<Value>,
    compared_count: usize,
    differences: Vec<String>,
}

impl GoldenCases {
    /// Reads the cases of a file. Panics if the file is missing or not a list.
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

    /// Returns the inputs, in the order of the file.
    pub fn inputs(&self) -> Vec<Value> {
        self.cases
            .iter()
            .map(|case| case["input"].clone())
            .collect()
    }

    /// Compares the value for the next input with the recorded value. The caller must go through the inputs in order.
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

    /// Panics if a value differs from the recorded value, if a case was not compared, or if there are no cases.
    pub fn finish(self) {
        assert_eq!(
            self.compared_count,
            self.cases.len(),
            "{}: each case must be compared",
            self.file
        );
        assert!(
            self.compared_count > 0,
            "{}: the file must hold at least one case",
            self.file
        );
        assert!(
            self.differences.is_empty(),
            "{}: values differ from the recorded ones:\n{}",
            self.file,
            self.differences.join("\n\n")
        );
    }
}

/// Returns bytes as a JSON string. All recorded bytes of the HTTP protocols are valid UTF-8.
pub fn text(bytes: &[u8]) -> Value {
    Value::from(std::str::from_utf8(bytes).expect("the bytes are valid UTF-8"))
}

//! Compares gossip datagrams with recorded ones: the bytes encoded for a destination, the
//! destination decoded from a datagram, and the error text for a datagram that can't be decoded.

use super::message::{decode, encode};
use crate::model::DestinationId;

const GOLDEN: &str = include_str!("../../../tests/golden/gossip-datagrams.txt");

fn to_bytes(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2),
        "{hex} must have two digits per byte"
    );
    let digits = (0..hex.len()).step_by(2);
    digits
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("must be hexadecimal digits"))
        .collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decoded(datagram: &str) -> String {
    match decode(&to_bytes(datagram)) {
        Ok(destination) => format!("destination {}", destination.0),
        Err(problem) => format!("not used: {problem}"),
    }
}

fn encoded(destination: &str) -> String {
    to_hex(&encode(DestinationId(
        destination.parse().expect("must be a destination number"),
    )))
}

#[test]
fn encodes_and_decodes_datagrams_as_recorded() {
    let mut compared = 0;
    for line in GOLDEN
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        let (operation, rest) = line
            .split_once(' ')
            .expect("each line must begin with an operation");
        let (input, expected) = rest
            .split_once(" -> ")
            .expect("each line must have an input and an output");
        let actual = match operation {
            "write" => encoded(input),
            "read" => decoded(input),
            other => panic!("unknown operation {other}"),
        };
        assert_eq!(actual, expected, "{line}");
        compared += 1;
    }
    assert!(
        compared > 20,
        "compared {compared} datagrams, expected more than 20"
    );
}

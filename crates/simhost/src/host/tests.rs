//! Frames as the wire document has them, and bad input.

use super::*;
use crate::frame::read_batch;
use opalpulley::{MessageId, TimerToken};

const EMPTY: &str = "00000000000000005a5c80000000000001000000";
const START: &str = r#"{"Balancers": 2, "Domain": {"Fades": "halving", "PerCall": [1], "RoutesApart": [false],
    "Workers": 3, "ZoneFee": [0.0], "New": 1}, "HostTypes": ["any"], "Limits": {"MaxAttempts": 6, "MaxOpen": 9,
    "RetryAfter": true}, "Me": 3, "Profiles": [{"Effect": "free", "GoalTimeUs": 1000000, "HardLimitUs": 9000000,
    "Points": 1.0}], "QuantumUs": 5000, "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.2, "DrainGraceUs": 500000,
    "FallMultiple": 2.0, "OverloadForUs": 2000000, "WarmAfterUs": 9000000}, "Weights": "nominal"}"#;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

fn record(code: u16, fields: &[u8]) -> Vec<u8> {
    [
        &code.to_le_bytes()[..],
        &(fields.len() as u32).to_le_bytes(),
        fields,
    ]
    .concat()
}

fn batch(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut out = (records.len() as u32).to_le_bytes().to_vec();
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(bytes("5a5c800000000000 0c000000"));
    out.extend(body);
    out
}

fn start() -> Vec<u8> {
    let mut fields = bytes("0300 0100000000000000");
    fields.extend((START.len() as u32).to_le_bytes());
    fields.extend(START.as_bytes());
    record(10, &fields)
}

fn play(host: &mut Host, frame: &[u8]) -> Result<Vec<u8>, WireError> {
    let mut body = Vec::new();
    let head = read_batch(&mut &frame[..], &mut body)?.expect("a frame");
    host.answer(head, &body)
}

fn problem(frame: &[u8]) -> String {
    play(&mut Host::default(), frame)
        .expect_err("bad input")
        .to_string()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let reply = play(&mut Host::default(), &bytes(EMPTY)).expect("an empty batch");
    assert_eq!(reply, bytes("00000000 00000000 01000000"));
}

#[test]
fn the_events_of_the_wire_document_are_decoded() {
    let list = record(
        11,
        &bytes(
            "00000000 02000000 0000 0a124a07 931f 0000000000000000 00 0000803f 3900 0000
             0000 0a9011f2 bc1f 20145d0000000000 00 0000c03f 3900 0000",
        ),
    );
    let endpoints = record(1, &bytes("0300 00000000 02 2900000000000000"));
    let submission = record(
        9,
        &bytes("0300 c4913a5d 0000 00000000 640ad2557c3bf091 80a90300 e02e0000 00006442 01"),
    );
    let timer = record(3, &bytes("0300 4d000000"));
    let unknown = record(999, &bytes("0300"));
    let withdrawn = record(8, &bytes("0300 192b6f0e"));
    let mut host = Host::default();
    let reply = play(
        &mut host,
        &batch(&[
            start(),
            list,
            endpoints,
            submission,
            timer,
            unknown,
            withdrawn,
        ]),
    )
    .expect("all good");
    // An attempt at message 0x5d3a91c4 at one of the two endpoints of destination 57.
    let send = bytes("4200 10000000 0300 c4913a5d");
    let endpoints = [bytes("0a124a07 931f"), bytes("0a9011f2 bc1f")];
    let sent = |w: &[u8]| w.starts_with(&send) && endpoints.iter().any(|t| w.ends_with(t));
    assert!(reply.windows(send.len() + 6).any(sent), "{reply:02x?}");
    let ended = bytes("0300 c4913a5d 00 0a124a07 931f c800 44480000 01 00000000 00");
    let restart = [
        record(4, &ended),
        record(5, &bytes("0300")),
        start(),
        record(3, &bytes("0300 01000000")),
    ];
    play(&mut host, &batch(&restart)).expect("an end and a start in one batch");
}

#[test]
fn actions_are_encoded_as_in_the_wire_document() {
    let mut reply = Reply::default();
    let endpoint = opalpulley::EndpointId {
        address: [10, 18, 74, 7],
        port: 8083,
        incarnation: 0,
    };
    let id = MessageId(0x5d3a91c4);
    reply
        .push(
            3,
            &Action::StartAttempt {
                id,
                endpoint,
                timeout: Some(80_000),
                send_by: 90_000,
            },
        )
        .expect("fits");
    reply
        .push(
            3,
            &Action::SetTimer {
                delay: 500_000,
                token: TimerToken(0x4d),
            },
        )
        .expect("fits");
    reply.push_log_line(5, "two servers known").expect("fits");
    let page = "41000000 03000000 0c000000
        4200 10000000 0300 c4913a5d 0a124a07 931f 80380100
        4900 0a000000 0300 20a10700 4d000000
        4600 15000000 0500 1100 74776f2073657276657273206b6e6f776e";
    assert_eq!(reply.frame(12).expect("fits"), bytes(page));
    assert!(reply
        .push(
            3,
            &Action::SetTimer {
                delay: u64::MAX,
                token: TimerToken(1)
            }
        )
        .is_err());
}

#[test]
fn an_error_names_the_record_and_the_problem() {
    assert!(problem(&bytes(&EMPTY[..20])).contains("batch header"));
    assert!(
        problem(&bytes("01000000 ffffffff 5a5c800000000000 01000000 00"))
            .contains("4294967295 bytes wanted")
    );
    assert!(problem(&batch(&[bytes("0300 ff000000 0300")])).contains("record at byte 0"));
    assert!(problem(&batch(&[record(3, &bytes("0300 4d000000"))])).contains("Due at byte 0"));
    assert!(problem(&batch(&[record(11, &bytes("00000000 ffffffff"))])).contains("Register"));
    assert!(problem(&batch(&[record(
        10,
        &bytes("0300 0000000000000000 01000000 7b")
    )]))
    .contains("not valid"));
    let outcome = record(
        4,
        &bytes("0300 c4913a5d 00 0a124a07 931f 0100 44480000 01 00000000 00"),
    );
    assert!(problem(&batch(&[start(), outcome])).contains("no outcome has the code 1"));
    let list = record(1, &bytes("0300 00000000 09 2900000000000000"));
    assert!(problem(&batch(&[start(), list])).contains("no list has the kind 9"));
}

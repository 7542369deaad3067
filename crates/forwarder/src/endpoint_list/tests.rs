use super::*;
use crate::commands::{DispatcherCommand, EndpointListCommand};
use crate::platform::Platform;
use crate::protocol::{EndpointListDocument, Member, Phase};
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus, Event};
use opalpulley_config::Names;
use slog::Logger;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

fn names() -> Names {
    Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: vec!["a".into()],
        endpoint_kinds: vec!["m".into()],
        reports: Vec::new(),
    }
}

fn document(revision: u64, complete: bool, members: &[(&str, u16, Phase)]) -> EndpointListDocument {
    let member = |(id, port, phase): &(&str, u16, Phase)| Member {
        id: (*id).into(),
        host_port: format!("10.0.0.1:{port}").parse().expect("an address"),
        locality: "a".into(),
        flavor: "m".into(),
        cell: 3,
        phase: *phase,
        size: 1.0,
        up_since_ms: 0,
    };
    EndpointListDocument {
        revision,
        complete,
        members: members.iter().map(member).collect(),
    }
}

/// The status of each endpoint in an update, by a key and in the order of keys.
fn statuses_by<K: Ord>(
    key: fn(&EndpointEntry) -> K,
    update: Option<EndpointListUpdate>,
) -> Vec<(K, EndpointStatus)> {
    let (EndpointListUpdate::Changes(entries)
    | EndpointListUpdate::Complete(entries)
    | EndpointListUpdate::Cached(entries)) = update.expect("an update")
    else {
        panic!("no entries")
    };
    let mut statuses: Vec<_> = entries.iter().map(|e| (key(e), e.status)).collect();
    statuses.sort_by(|(a, _), (b, _)| a.cmp(b));
    statuses
}

fn by_port(update: Option<EndpointListUpdate>) -> Vec<(u16, EndpointStatus)> {
    statuses_by(|e| e.endpoint.port, update)
}

fn by_incarnation(update: Option<EndpointListUpdate>) -> Vec<(u32, EndpointStatus)> {
    statuses_by(|e| e.endpoint.incarnation, update)
}

/// Changes apply to the list that is known. Those of an earlier revision are ignored.
#[test]
fn changes_apply_to_the_known_list_and_old_ones_are_ignored() {
    let mut table = EndpointTable::default();
    let whole = document(5, true, &[("x", 1, Phase::Ready), ("y", 2, Phase::Ready)]);
    assert_eq!(
        by_port(table.take(whole, &names())),
        [(1, EndpointStatus::Ready), (2, EndpointStatus::Ready)]
    );
    let change = document(6, false, &[("y", 2, Phase::Terminating)]);
    assert_eq!(
        by_port(table.take(change, &names())),
        [(2, EndpointStatus::Draining)]
    );
    assert!(table
        .take(document(4, false, &[("y", 2, Phase::Ready)]), &names())
        .is_none());
    assert!(table.take(document(7, false, &[]), &names()).is_none());
    assert_eq!(table.revision, Some(7));
}

/// Members that use the same address one after the other are different endpoints: neither status, health nor
/// destination of the first applies to the second.
#[test]
fn each_member_at_an_address_is_an_endpoint_of_its_own() {
    let mut table = EndpointTable::default();
    table.take(document(1, true, &[("x", 1, Phase::Ready)]), &names());
    let moved = table.take(document(2, false, &[("x", 2, Phase::Ready)]), &names());
    assert_eq!(
        by_port(moved),
        [(1, EndpointStatus::Removed), (2, EndpointStatus::Ready)]
    );
    // Another member gets the address: the first endpoint is removed, and the second is a new one.
    let taken = table.take(document(3, false, &[("z", 2, Phase::Ready)]), &names());
    assert_eq!(
        by_incarnation(taken),
        [(2, EndpointStatus::Removed), (3, EndpointStatus::Ready)]
    );
    // Late changes of the first member do not apply to the second.
    assert!(table
        .take(
            document(4, false, &[("x", 2, Phase::Terminating)]),
            &names()
        )
        .is_none());
    assert!(table
        .take(document(5, false, &[("x", 2, Phase::Gone)]), &names())
        .is_none());
    let both = &[("x", 2, Phase::Terminating), ("z", 2, Phase::Ready)];
    assert_eq!(
        by_incarnation(table.take(document(6, true, both), &names())),
        [(3, EndpointStatus::Ready)]
    );
    // The same address for another destination is another endpoint.
    let mut other = document(7, false, &[("z", 2, Phase::Ready)]);
    other.members[0].cell = 4;
    assert_eq!(
        by_incarnation(table.take(other, &names())),
        [(3, EndpointStatus::Removed), (5, EndpointStatus::Ready)]
    );
    // Nothing is kept of removed members.
    table.take(document(8, false, &[("z", 2, Phase::Gone)]), &names());
    assert!(table.is_empty());
}

/// Where discovery must be polled and a list is known, the first poll is a watch from its revision, once the core wants
/// it. The same command again does not repeat it.
#[tokio::test]
async fn a_known_list_is_watched_from_its_revision_by_one_poll() {
    let agent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = agent.local_addr().expect("an address");
    let (_moves, discovery) = watch::channel(address);
    let (commands, mailbox) = mpsc::channel(4);
    let (dispatcher, _events) = mpsc::channel(4);
    let mut table = EndpointTable::default();
    table.take(document(7, true, &[("x", 1, Phase::Ready)]), &names());
    let log = Logger::root(slog::Discard, slog::o!());
    let platform = Platform::new(address);
    let list = EndpointListWatch {
        platform,
        discovery,
        names: names(),
        held: table,
        must_be_asked: true,
        dispatcher,
        log,
    };
    tokio::spawn(list.run(mailbox));
    let early = tokio::time::timeout(Duration::from_millis(100), agent.accept()).await;
    assert!(early.is_err(), "polled before it was wanted");
    commands
        .send(EndpointListCommand::Watch(true))
        .await
        .expect("the actor runs");
    let (mut stream, _) = agent.accept().await.expect("a poll");
    let mut head = vec![0; 4096];
    let read = stream.read(&mut head).await.expect("a request");
    assert!(String::from_utf8_lossy(&head[..read]).starts_with("GET /discovery/hosts?index=7&"));
    // The same command once more while the poll is in flight: the poll goes on.
    commands
        .send(EndpointListCommand::Watch(true))
        .await
        .expect("the actor runs");
    assert!(
        tokio::time::timeout(Duration::from_millis(100), agent.accept())
            .await
            .is_err(),
        "polled again"
    );
    let more = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut head)).await;
    assert!(more.is_err(), "the poll was dropped or made again");
}

/// The work for a change does not grow with the list, nor that for a member of a complete list with its length.
#[test]
fn thousands_of_members_and_changes_are_applied_quickly() {
    let mut table = EndpointTable::default();
    let ids: Vec<String> = (0..4_096).map(|n| format!("s-{n}")).collect();
    let whole: Vec<_> = ids
        .iter()
        .zip(1..)
        .map(|(id, port)| (id.as_str(), port, Phase::Ready))
        .collect();
    let begun = std::time::Instant::now();
    assert_eq!(
        by_port(table.take(document(1, true, &whole), &names())).len(),
        ids.len()
    );
    for (id, port, _) in whole {
        let update = table.take(
            document(2, false, &[(id, port, Phase::Terminating)]),
            &names(),
        );
        assert_eq!(by_port(update), [(port, EndpointStatus::Draining)]);
    }
    // It would take 25 s if each change looked at all members.
    assert!(
        begun.elapsed() < std::time::Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
    // The last line of a member counts. A member with the address of another displaces it.
    let twice = [
        ("s-0", 1, Phase::Gone),
        ("s-0", 1, Phase::Ready),
        ("new", 2, Phase::Ready),
    ];
    let update = by_incarnation(table.take(document(3, false, &twice), &names()));
    assert_eq!(
        update,
        [
            (1, EndpointStatus::Ready),
            (2, EndpointStatus::Removed),
            (4_097, EndpointStatus::Ready)
        ]
    );
}

/// A watch may fall silent as soon as it is opened, or within its answer. The forwarder counts as notified of what it
/// misses two seconds after the wait that was asked for. The next watch is opened by then.
#[tokio::test(start_paused = true)]
async fn a_watch_that_falls_silent_is_opened_again_in_time() {
    for answer in [
        "",
        "HTTP/1.1 200 OK\r\nContent-",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\":2,",
    ] {
        check_opened_again(answer).await;
    }
}

async fn check_opened_again(half: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (seen, mut watches) = mpsc::channel(8);
    tokio::spawn(async move {
        let mut silent = Vec::new(); // connections that stay open
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = vec![0; 1024];
            loop {
                let n = stream.read(&mut head).await.expect("a request");
                let asked = String::from_utf8_lossy(&head[..n]).into_owned();
                if asked.contains("index=") {
                    let wait = asked
                        .split("wait=")
                        .nth(1)
                        .and_then(|w| w.split(' ').next()?.parse().ok());
                    seen.send((Instant::now(), wait.expect("a wait")))
                        .await
                        .expect("it is awaited");
                    stream
                        .write_all(half.as_bytes())
                        .await
                        .expect("half an answer");
                    break silent.push(stream);
                }
                let list = r#"{"revision":1,"complete":true,"members":[]}"#;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                );
                stream.write_all(answer.as_bytes()).await.expect("answered");
            }
        }
    });
    let (dispatcher, _events) = mpsc::channel(8);
    let (_moves, discovery) = watch::channel(address);
    let list = EndpointListWatch {
        platform: Platform::new(address),
        discovery,
        names: names(),
        held: EndpointTable::default(),
        must_be_asked: false,
        dispatcher,
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let (_mailbox, commands) = mpsc::channel(1);
    tokio::spawn(list.run(commands));
    let (opened, wait) = watches.recv().await.expect("a watch");
    let (opened_again, _) = watches.recv().await.expect("another");
    let notified_after = Duration::from_millis(wait) + Duration::from_secs(2);
    assert!(
        opened_again - opened < notified_after + Duration::from_millis(50),
        "{half}: {:?}",
        opened_again - opened
    );
}

/// Counts the lines of a log.
struct LineCounter(std::sync::Arc<std::sync::atomic::AtomicUsize>);

impl slog::Drain for LineCounter {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, _: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.0.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Ok(())
    }
}

/// An agent that gives one answer on each connection, whole or cut off after so many bytes, and closes it. After the last
/// one it answers nothing.
async fn agent(answers: Vec<(String, Option<usize>)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let mut silent = Vec::new(); // connections that stay open
        for (body, cut) in answers {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = vec![0; 1024];
            assert!(stream.read(&mut head).await.expect("a request") > 0);
            let head = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes()).await.expect("answered");
            stream
                .write_all(&body.as_bytes()[..cut.unwrap_or(body.len())])
                .await
                .expect("answered");
        }
        loop {
            silent.push(listener.accept().await.expect("a connection"));
        }
    });
    address
}

/// Lists of a hundred thousand members are applied. Lists that are cut off or have an unreadable member change nothing,
/// and all failures in a row are one line of the log.
#[tokio::test]
async fn long_lists_are_applied_and_unreadable_ones_are_logged_once() {
    const MANY: u32 = 100_000;
    let line = |n: u32| {
        let [a, b, c, d] = (0x0a00_0000 + n).to_be_bytes();
        format!(
            r#"{{"id":"member-{n:06}","host_port":"{a}.{b}.{c}.{d}:80","locality":"a","flavor":"m","cell":{n},"phase":"Ready"}}"#
        )
    };
    let list = |lines: Vec<String>| {
        format!(
            r#"{{"revision":1,"complete":true,"members":[{}]}}"#,
            lines.join(",")
        )
    };
    let all = list((0..MANY).map(line).collect());
    let half = list((0..MANY).step_by(2).map(line).collect());
    let unreadable = |from: &str, to: &str| list(vec![line(1), line(2).replace(from, to), line(3)]);
    let mut answers = vec![(all.clone(), None), (half.clone(), None)];
    answers.push((all[..all.len() / 2].to_owned(), None));
    answers.push((all.clone(), Some(all.len() / 2)));
    answers.extend(
        [
            ("Ready", "Sideways"),
            (":80", ""),
            (":2,", ":-2,"),
            (":2,", ":4294967296,"),
            ("\"id\"", "\"name\""),
        ]
        .map(|(from, to)| (unreadable(from, to), None)),
    );
    answers.extend([(half, None), (all, None)]);
    let address = agent(answers).await;
    let lines = std::sync::Arc::default();
    let (dispatcher, mut events) = mpsc::channel(4);
    let (_moves, discovery) = watch::channel(address);
    let list = EndpointListWatch {
        platform: Platform::new(address),
        discovery,
        names: names(),
        held: EndpointTable::default(),
        must_be_asked: false,
        dispatcher,
        log: Logger::root(LineCounter(std::sync::Arc::clone(&lines)), slog::o!()),
    };
    let (_mailbox, commands) = mpsc::channel(1);
    tokio::spawn(list.run(commands));
    for wanted in [MANY, MANY / 2, MANY / 2, MANY] {
        let update = tokio::time::timeout(Duration::from_secs(20), events.recv())
            .await
            .expect("in time");
        let Some(DispatcherCommand::Event(Event::EndpointList(EndpointListUpdate::Complete(
            entries,
        )))) = update
        else {
            panic!("no complete list")
        };
        assert_eq!(entries.len(), wanted as usize);
    }
    // One line on the failures, and one on the recovery.
    assert_eq!(lines.load(std::sync::atomic::Ordering::Relaxed), 2);
}

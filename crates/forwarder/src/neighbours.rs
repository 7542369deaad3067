//! Notes between forwarders: datagrams, which come late or not at all.

use crate::notes::{NeighbourNote, Note};
use crate::papers::Neighbours;
use opalpulley::Event;
use slog::{warn, Logger};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

const MOST_NOTE: usize = 256; // bytes, the protocol's limit
const LOG_AGAIN: Duration = Duration::from_secs(60); // between two lines on strangers: they fill no disk

/// Carries notes both ways; where the deployment has no neighbours, it takes none.
pub async fn run(
    who: Neighbours,
    mut mailbox: mpsc::Receiver<NeighbourNote>,
    module: mpsc::Sender<Note>,
    log: Logger,
) -> io::Result<()> {
    let Some(listen) = who.listen else { return Ok(()) };
    let socket = UdpSocket::bind(listen).await?;
    let numbers: HashMap<SocketAddr, u16> = who.each.iter().copied().zip(0..).collect();
    let (mut strangers, mut logged): (u64, Option<Instant>) = (0, None);
    let mut buffer = [0; MOST_NOTE];
    loop {
        tokio::select! {
            note = mailbox.recv() => {
                let Some(NeighbourNote { neighbour, note }) = note else { return Ok(()) };
                let to = match neighbour {
                    Some(number) => who.each.get(usize::from(number)).copied(),
                    None => who.all,
                };
                match to {
                    Some(to) if note.len() <= MOST_NOTE => drop(socket.try_send_to(&note, to)),
                    _ => warn!(log, "a note to a neighbour can't be sent"; "bytes" => note.len()),
                }
            }
            came = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = came else { continue };
                let Some(number) = numbers.get(&from).copied() else {
                    strangers += 1;
                    if logged.is_none_or(|at| at.elapsed() >= LOG_AGAIN) {
                        logged = Some(Instant::now());
                        warn!(log, "a note of nobody we know is passed over"; "from" => %from, "so far" => strangers);
                    }
                    continue;
                };
                let event = Event::Neighbour { from: number, note: buffer[..length].to_vec() };
                if module.send(Note::Event(event)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

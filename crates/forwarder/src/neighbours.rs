//! Notes between forwarders: datagrams, which come late or not at all.

use crate::notes::{NeighbourNote, Note};
use crate::papers::Neighbours;
use opalpulley::Event;
use slog::{warn, Logger};
use std::io;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

const MOST_NOTE: usize = 256; // bytes, the protocol's limit

/// Carries notes both ways; where the deployment has no neighbours, it takes none.
pub async fn run(
    who: Neighbours,
    mut mailbox: mpsc::Receiver<NeighbourNote>,
    module: mpsc::Sender<Note>,
    log: Logger,
) -> io::Result<()> {
    let Some(listen) = who.listen else { return Ok(()) };
    let socket = UdpSocket::bind(listen).await?;
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
                let Some(number) = who.each.iter().position(|a| *a == from) else { continue };
                let event = Event::Neighbour { from: number as u16, note: buffer[..length].to_vec() };
                if module.send(Note::Event(event)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

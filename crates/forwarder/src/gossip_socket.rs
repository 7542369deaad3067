//! The datagram socket of the gossip between forwarders: messages may come late, twice or not at all.

use crate::commands::{DispatcherCommand, GossipDatagram};
use crate::startup_config::GossipPeers;
use opalpulley::Event;
use slog::{warn, Logger};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

const MOST_MESSAGE: usize = 256; // bytes, the protocol's limit
const LOG_AGAIN: Duration = Duration::from_secs(60); // between two lines on strangers: they fill no disk

/// Carries gossip messages both ways; does nothing where the deployment names no peers.
pub async fn run(
    who: GossipPeers,
    mut mailbox: mpsc::Receiver<GossipDatagram>,
    dispatcher: mpsc::Sender<DispatcherCommand>,
    log: Logger,
) -> io::Result<()> {
    let Some(listen) = who.listen else {
        return Ok(());
    };
    let socket = UdpSocket::bind(listen).await?;
    let numbers: HashMap<SocketAddr, u16> = who.each.iter().copied().zip(0..).collect();
    let (mut strangers, mut logged): (u64, Option<Instant>) = (0, None);
    let mut buffer = [0; MOST_MESSAGE];
    loop {
        tokio::select! {
            message = mailbox.recv() => {
                let Some(GossipDatagram { peer, payload: message }) = message else { return Ok(()) };
                let to = match peer {
                    Some(number) => who.each.get(usize::from(number)).copied(),
                    None => who.all,
                };
                match to {
                    Some(to) if message.len() <= MOST_MESSAGE => drop(socket.try_send_to(&message, to)),
                    _ => warn!(log, "a gossip message to a peer can't be sent"; "bytes" => message.len()),
                }
            }
            received_at = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received_at else { continue };
                let Some(number) = numbers.get(&from).copied() else {
                    strangers += 1;
                    if logged.is_none_or(|at| at.elapsed() >= LOG_AGAIN) {
                        logged = Some(Instant::now());
                        warn!(log, "a note of nobody we know is passed over"; "from" => %from, "so far" => strangers);
                    }
                    continue;
                };
                let event = Event::Gossip { from: number, payload: buffer[..length].to_vec() };
                if dispatcher.send(DispatcherCommand::Event(event)).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

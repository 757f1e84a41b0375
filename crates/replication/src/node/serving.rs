//! Serving other nodes, at sources and followers alike: digests of what is held here, commands that others lack, and fresh
//! commands that are forwarded.

use super::*;

impl Replicator {
    /// A node holds less than this one: it is sent a little at once, and much is announced to it.
    pub(super) fn repair(&mut self, to: NodeAddress, held: LogIndex, out: &mut Vec<Effect>) {
        let missing = self.recent.missing_after(held);
        if missing.commands > 0 && missing.bytes <= INLINE_BYTES_MAX {
            self.send_commands_after(to, held, out);
        } else {
            self.send_digest(to, false, out);
        }
    }

    /// Answers a pull with commands; with a snapshot if they are no longer kept, or if several are larger than it.
    pub(super) fn handle_pull(&mut self, from: NodeAddress, held: LogIndex, out: &mut Vec<Effect>) {
        self.unacknowledged.acknowledge(from, held);
        if held >= self.index {
            self.note_announcement(from, held, 0);
            self.send_digest(from, false, out);
            return;
        }
        let snapshot_is_smaller =
            |bytes: usize| bytes > SNAPSHOT_THRESHOLD_BYTES && bytes > self.snapshot_bytes;
        match self.recent.missing_after(held) {
            Missing { commands: 0, .. } => self.provide_snapshot(from, out),
            Missing { commands: 2.., bytes } if snapshot_is_smaller(bytes) => {
                self.provide_snapshot(from, out);
            }
            _ => self.send_commands_after(from, held, out),
        }
    }

    pub(super) fn send_digest(&mut self, to: NodeAddress, fresh: bool, out: &mut Vec<Effect>) {
        let latest_bytes = self.recent.latest_bytes();
        out.push(Effect::Send { to, message: Message::Digest { index: self.index, latest_bytes, fresh } });
    }

    /// Forwards a command that is new here to a few other followers, or announces it if it is large. Each node forwards a
    /// command once.
    pub(super) fn forward(&mut self, from: NodeAddress, command: &ChainedCommand, out: &mut Vec<Effect>) {
        let large = command.data.len() > INLINE_BYTES_MAX;
        if large && command.prev > self.index {
            return;
        }
        let fanout = if large { FORWARD_ANNOUNCE_FANOUT } else { FORWARD_FANOUT };
        let mut receivers = self.others.clone();
        receivers.retain(|address| *address != from);
        shuffle(&mut self.rand, &mut receivers);
        for to in receivers.into_iter().take(fanout) {
            let message = if large {
                let latest_bytes = command.data.len() as u32;
                Message::Digest { index: command.index, latest_bytes, fresh: true }
            } else {
                Message::Commands { fresh: true, more: false, commands: vec![command.clone()] }
            };
            out.push(Effect::Send { to, message });
        }
    }

    /// Sends the commands after `held`, up to `PULL_ANSWER_BYTES_MAX`. Small ones share messages that fit into a datagram;
    /// a large one has a message of its own.
    pub(super) fn send_commands_after(&mut self, to: NodeAddress, held: LogIndex, out: &mut Vec<Effect>) {
        let mut commands = Vec::new();
        let (mut message_bytes, mut total_bytes) = (0, 0);
        for command in self.recent.after(held) {
            let command_bytes = command.data.len() + COMMAND_OVERHEAD_BYTES;
            if total_bytes > 0 && total_bytes + command_bytes > PULL_ANSWER_BYTES_MAX {
                break;
            }
            let message_full = message_bytes + command_bytes > INLINE_BYTES_MAX + COMMAND_OVERHEAD_BYTES;
            if !commands.is_empty() && message_full {
                let commands = std::mem::take(&mut commands);
                out.push(Effect::Send {
                    to,
                    message: Message::Commands { fresh: false, more: true, commands },
                });
                message_bytes = 0;
            }
            message_bytes += command_bytes;
            total_bytes += command_bytes;
            commands.push(command.clone());
        }
        if !commands.is_empty() {
            out.push(Effect::Send { to, message: Message::Commands { fresh: false, more: false, commands } });
        }
    }
}

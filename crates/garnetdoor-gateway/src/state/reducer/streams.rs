//! Streams: the changes of the server list, and the platform's events.

use super::Reducer;
use crate::event::{CloseReason, ConnectionId};
use crate::state::connections::ConnectionKind;
use crate::wire::http::StreamEnd;
use crate::wire::platform::StreamEvent;
use crate::wire::{discovery, platform};

impl Reducer {
    /// Reads the stream of the list's changes, or of the platform's events.
    pub(super) fn read_stream(&mut self, id: ConnectionId) {
        let mut state = self.state();
        let Some(connection) = state.connections.get_mut(&id) else { return };
        let (ConnectionKind::Watch(stream) | ConnectionKind::EventStream(stream)) = &mut connection.kind
        else {
            return;
        };
        let fed = stream.feed(connection.buffer.data());
        let text = std::mem::take(&mut stream.text);
        let is_watch = matches!(connection.kind, ConnectionKind::Watch(_));
        match fed {
            Ok(used) => state.consume(id, used),
            Err(end) => {
                drop(state);
                let reason = match end {
                    StreamEnd::Refused => CloseReason::Refused,
                    StreamEnd::LastChunk => CloseReason::LastMessage,
                    StreamEnd::Fault(fault) => fault.into(),
                };
                return self.connection_failed(id, reason, false);
            }
        }
        let deadline = if is_watch { state.list_deadline() } else { state.event_stream_deadline() };
        state.set_deadline(id, Some(deadline));
        drop(state);
        let rest = if is_watch { self.read_list_changes(id, text) } else { self.read_events(id, text) };
        let mut state = self.state();
        if let Some(ConnectionKind::Watch(stream) | ConnectionKind::EventStream(stream)) =
            state.connections.get_mut(&id).map(|connection| &mut connection.kind)
        {
            stream.text = rest;
        }
    }

    /// Applies the complete lines of the list's changes; returns the incomplete line at the end.
    fn read_list_changes(&mut self, id: ConnectionId, mut text: Vec<u8>) -> Vec<u8> {
        while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            let list = discovery::parse_list(&line, &self.state().known_names);
            match list {
                Ok(list) => self.list_received(list),
                Err(fault) => {
                    self.state().log(format!("list unreadable: {fault}"));
                    self.connection_failed(id, CloseReason::Malformed, false);
                    return Vec::new();
                }
            }
        }
        text
    }

    /// Handles the complete events of the platform; returns the incomplete event at the end. A stream with an
    /// unreadable event is closed: the event would not be sent again, whereas a new stream begins with the
    /// platform's state.
    fn read_events(&mut self, id: ConnectionId, mut text: Vec<u8>) -> Vec<u8> {
        for event in platform::take_events(&mut text) {
            match event {
                StreamEvent::RolloutStatus(status) => self.rollout_status_received(status),
                StreamEvent::KeepAlive => {}
                StreamEvent::UnknownKind(text) => {
                    self.state().log(format!("notice left out: {text:?}"));
                }
                StreamEvent::Unreadable(text) => {
                    self.state().log(format!("notice unreadable: {text:?}"));
                    self.connection_failed(id, CloseReason::Malformed, false);
                    return Vec::new();
                }
            }
            self.state().reset_event_stream_backoff();
        }
        text
    }
}

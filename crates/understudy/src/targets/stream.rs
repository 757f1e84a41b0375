//! Streams between nodes: messages, each behind its length.

use std::net::Ipv4Addr;
use std::sync::Arc;

use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, mpsc};
use transport::TransportLimits;

use crate::{Cost, Shape, Signature, Target};

/// The longest message here, and how many bytes may be read at one time.
const MESSAGE: usize = 4_096;
const READING: usize = 1_024;

pub struct Stream(Runtime);

impl Stream {
    pub fn new() -> Stream {
        let runtime = Builder::new_current_thread().enable_time().build();
        Stream(runtime.expect("a runtime without sockets"))
    }
}

impl Default for Stream {
    fn default() -> Stream {
        Stream::new()
    }
}

/// The messages that stand whole in a stream before one that is too long or cut.
fn told(mut input: &[u8]) -> (Vec<&[u8]>, &'static str) {
    let mut messages = Vec::new();
    loop {
        let Some((length, rest)) = input.split_first_chunk::<4>() else {
            return (messages, if input.is_empty() { "end" } else { "cut head" });
        };
        let length = u32::from_be_bytes(*length) as usize;
        match rest.split_at_checked(length) {
            _ if length > MESSAGE => return (messages, "too long"),
            Some((message, rest)) => {
                messages.push(message);
                input = rest;
            }
            None => return (messages, "cut"),
        }
    }
}

impl Target for Stream {
    fn name(&self) -> &'static str {
        "stream"
    }

    fn shape(&self) -> Shape {
        Shape::Packed
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let lengths: [&[usize]; 3] = [&[3, 0, 40], &[MESSAGE], &[READING + 1, 1]];
        let message = |length: &usize| [&(*length as u32).to_be_bytes()[..], &vec![7; *length]].concat();
        lengths.map(|lengths| lengths.iter().flat_map(message).collect()).to_vec()
    }

    fn cost(&self) -> Cost {
        // Each message of no bytes at all costs its place among those that wait.
        Cost { fixed: 64 << 10, each: 64 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let limits = TransportLimits {
            max_message_bytes: MESSAGE,
            max_reading_bytes: READING,
            ..TransportLimits::default()
        };
        let from = Ipv4Addr::new(10, 0, 0, 2);
        let reading = Arc::new(Semaphore::new(READING));
        let (arrived, mut incoming) = mpsc::channel(4);
        let read = transport::read_frames(input, from, arrived, reading.clone(), limits);
        let taken = async {
            let mut taken = Vec::new();
            while let Some(arrived) = incoming.recv().await {
                taken.push(arrived.bytes);
            }
            taken
        };
        let ((), taken) = self.0.block_on(async { tokio::join!(read, taken) });
        let (messages, end) = told(input);
        assert_eq!(taken, messages, "whole messages, in order, and nothing else");
        assert_eq!(reading.available_permits(), READING, "what was lent for reading is back");
        let mut signature = Signature::default();
        signature.text("end", end);
        signature.bucket("messages", messages.len() as u64);
        for message in messages {
            signature.bucket("length", message.len() as u64);
        }
        signature
    }
}

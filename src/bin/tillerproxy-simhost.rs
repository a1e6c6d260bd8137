//! Runs the balancers of many proxies for the simulator: reads batches on standard input and writes replies to standard
//! output.
#![forbid(unsafe_code)]

use std::any::Any;
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;
use thiserror::Error;
use tillerproxy::api::{Action, Backend, Event, MembershipEvent, Micros};
use tillerproxy::balancer::Balancer;
use tillerproxy::simulator::frames::{
    BATCH_HEADER_LENGTH, BatchReader, ListId, ProxyId, Record, ReplyWriter, UPDATE_LIST_OFFSET,
    UpdateKind, batch_length,
};
use tillerproxy::simulator::{FrameError, FrameErrorKind, ParseSettingsError, parse_settings};

/// Size in bytes of the buffer for standard input.
const INPUT_BUFFER_LENGTH: usize = 64 * 1024;

/// The reason why the program ends before the end of its input.
#[derive(Debug, Error)]
enum HostError {
    /// The input does not follow the protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Reading standard input or writing standard output failed.
    #[error("cannot read standard input or write standard output: {0}")]
    Io(#[from] io::Error),
    /// The settings of a proxy are invalid, or its balancer panicked. The reply has a record with the reason.
    #[error("proxy {} failed: {reason}", proxy.0)]
    ProxyFailed { proxy: ProxyId, reason: String },
}

/// The proxies of a simulation.
#[derive(Default)]
struct Host {
    /// Balancers by the numbers of their proxies; `None` if a proxy is not running.
    proxies: Vec<Option<Balancer>>,
    /// Endpoint lists by their numbers; `None` if a list has not been received.
    endpoint_lists: Vec<Option<Rc<[Backend]>>>,
    /// Actions of the last event; kept so that the allocation is reused.
    actions: Vec<Action>,
    reply: ReplyWriter,
    /// Unknown record codes that have been reported; each is reported once.
    reported_codes: BTreeSet<u8>,
}

/// The proxy that a record is for, and the offset and time of the record.
#[derive(Clone, Copy)]
struct Target {
    proxy: ProxyId,
    /// Offset of the record in the batch.
    offset: usize,
    now: Micros,
}

impl Host {
    /// Handles the records of one batch in order.
    fn handle_batch(&mut self, bytes: &[u8]) -> Result<(), HostError> {
        let mut records = BatchReader::new(bytes)?;
        let now = records.clock();
        let mut selected = None;
        loop {
            let offset = records.offset();
            let Some(record) = records.next_record()? else {
                return Ok(());
            };
            match record {
                Record::SelectProxy(proxy) => selected = Some(proxy),
                Record::EndpointList { list, endpoints } => {
                    let backends = endpoints.parse()?;
                    *entry(&mut self.endpoint_lists, list.index()) = Some(backends.into());
                }
                Record::Gossip => {}
                Record::Unknown(code) => self.report_unknown(code),
                Record::MembershipUpdate { kind, list } => {
                    let endpoints = self.endpoints_of_update(kind, list, offset)?;
                    let target = select_target(selected, offset, now)?;
                    self.update_membership(target, kind, &endpoints)?;
                }
                record => {
                    let target = select_target(selected, offset, now)?;
                    self.handle_record(target, &record)?;
                }
            }
        }
    }

    /// Handles a record that is for the selected proxy.
    fn handle_record(&mut self, target: Target, record: &Record<'_>) -> Result<(), HostError> {
        match *record {
            Record::StartProxy { seed, settings } => self.start_proxy(target, seed, settings),
            Record::CrashProxy => {
                *entry(&mut self.proxies, target.proxy.index()) = None;
                Ok(())
            }
            _ => match record.event() {
                Some(event) => self.handle_event(target, event),
                None => Ok(()),
            },
        }
    }

    fn start_proxy(&mut self, target: Target, seed: u64, settings: &[u8]) -> Result<(), HostError> {
        match create_balancer(settings, seed, target.now) {
            Ok(balancer) => {
                *entry(&mut self.proxies, target.proxy.index()) = Some(balancer);
                Ok(())
            }
            Err(error) => Err(self.fail(target.proxy, error.to_string())),
        }
    }

    /// Returns the endpoints that a membership update refers to; an empty list if the update reports a failure of the
    /// watch.
    fn endpoints_of_update(
        &mut self,
        kind: UpdateKind,
        list: ListId,
        offset: usize,
    ) -> Result<Rc<[Backend]>, FrameError> {
        if kind == UpdateKind::WatchFailed {
            return Ok(Rc::from([]));
        }
        let endpoints = entry(&mut self.endpoint_lists, list.index());
        endpoints.clone().ok_or(FrameError {
            offset: offset + UPDATE_LIST_OFFSET,
            kind: FrameErrorKind::UnknownList(list),
        })
    }

    fn update_membership(
        &mut self,
        target: Target,
        kind: UpdateKind,
        endpoints: &[Backend],
    ) -> Result<(), HostError> {
        let event = match kind {
            UpdateKind::Delta => MembershipEvent::Delta(endpoints),
            UpdateKind::Full => MembershipEvent::Full(endpoints),
            UpdateKind::Cached => MembershipEvent::Cached(endpoints),
            UpdateKind::WatchFailed => MembershipEvent::WatchFailed,
        };
        self.handle_event(target, Event::Membership(event))
    }

    /// Passes an event to the balancer of a proxy and writes its actions to the reply.
    ///
    /// # Errors
    /// [`FrameErrorKind::ProxyNotRunning`], or [`HostError::ProxyFailed`] if the balancer panics, which the reply
    /// reports.
    fn handle_event(&mut self, target: Target, event: Event<'_>) -> Result<(), HostError> {
        let Target { proxy, offset, now } = target;
        let Some(balancer) = entry(&mut self.proxies, proxy.index()) else {
            let kind = FrameErrorKind::ProxyNotRunning(proxy);
            return Err(FrameError { offset, kind }.into());
        };
        let actions = &mut self.actions;
        actions.clear();
        // `AssertUnwindSafe` is sound because the program ends after a panic, so that state which was updated only in
        // part is never used.
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = handled {
            let reason = format!("the balancer panicked: {}", panic_text(&*panic));
            return Err(self.fail(proxy, reason));
        }
        for action in &self.actions {
            self.reply.action(proxy, action);
        }
        Ok(())
    }

    /// Reports the failure of a proxy in the reply, and returns the error that ends the program.
    fn fail(&mut self, proxy: ProxyId, reason: String) -> HostError {
        self.reply.fatal(proxy, &reason);
        HostError::ProxyFailed { proxy, reason }
    }

    fn report_unknown(&mut self, code: u8) {
        if self.reported_codes.insert(code) {
            eprintln!("ignoring records with the unknown code {code}");
        }
    }
}

fn create_balancer(
    settings: &[u8],
    seed: u64,
    now: Micros,
) -> Result<Balancer, ParseSettingsError> {
    let settings = parse_settings(settings)?;
    Ok(Balancer::new(settings, seed, now)?)
}

/// Returns the entry at `index` of a table. A table that is too short is extended.
fn entry<T>(table: &mut Vec<Option<T>>, index: usize) -> &mut Option<T> {
    if table.len() <= index {
        table.resize_with(index + 1, || None);
    }
    &mut table[index]
}

fn select_target(
    selected: Option<ProxyId>,
    offset: usize,
    now: Micros,
) -> Result<Target, FrameError> {
    let proxy = selected.ok_or(FrameError {
        offset,
        kind: FrameErrorKind::NoProxySelected,
    })?;
    Ok(Target { proxy, offset, now })
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text;
    }
    panic
        .downcast_ref::<&str>()
        .copied()
        .unwrap_or("a panic without a message")
}

/// Reads one batch into `bytes`. Returns whether there was a batch: `false` at the end of the input.
fn read_batch(input: &mut impl Read, bytes: &mut Vec<u8>) -> Result<bool, HostError> {
    bytes.clear();
    input.take(BATCH_HEADER_LENGTH as u64).read_to_end(bytes)?;
    if bytes.is_empty() {
        return Ok(false);
    }
    let Ok(header) = <[u8; BATCH_HEADER_LENGTH]>::try_from(bytes.as_slice()) else {
        return Err(truncated(bytes, FrameErrorKind::TruncatedBatchHeader));
    };
    let length = batch_length(header);
    input.take(length as u64).read_to_end(bytes)?;
    if bytes.len() < BATCH_HEADER_LENGTH + length {
        return Err(truncated(bytes, FrameErrorKind::TruncatedBatch { length }));
    }
    Ok(true)
}

/// Returns the error for input that ends after `bytes`.
fn truncated(bytes: &[u8], kind: FrameErrorKind) -> HostError {
    let offset = bytes.len();
    FrameError { offset, kind }.into()
}

/// Handles the batches of the input until its end and writes a reply to each.
fn run(host: &mut Host, input: &mut impl Read, output: &mut impl Write) -> Result<(), HostError> {
    let mut bytes = Vec::new();
    while read_batch(input, &mut bytes)? {
        let handled = host.handle_batch(&bytes);
        if matches!(handled, Ok(()) | Err(HostError::ProxyFailed { .. })) {
            output.write_all(&host.reply.finish())?;
            output.flush()?;
        }
        handled?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_LENGTH, io::stdin().lock());
    let mut output = io::stdout().lock();
    match run(&mut host, &mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

//! What discovery lists: entries, revisions, and answers that are serialized once for all callers.

use bytes::Bytes;
use serde::{Serialize, Serializer};
use std::collections::HashMap;
use std::net::SocketAddr;

/// State of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryPhase {
    /// It takes requests.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone; only changes name it.
    Left,
}

/// One entry, in the form of the protocol.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone.
    pub locality: String,
    /// Its kind of machine.
    pub flavor: &'static str,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub phase: EntryPhase,
    /// Its share of a whole machine.
    #[serde(serialize_with = "one_decimal")]
    pub size: f64,
    /// Its last start in Unix time, milliseconds; 0 means long ago.
    pub up_since_ms: u64,
}

fn one_decimal<S: Serializer>(size: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64((size * 10.0).round() / 10.0)
}

/// An answer's body.
#[derive(Serialize)]
struct List<'a> {
    revision: u64,
    complete: bool,
    members: Vec<&'a Entry>,
}

/// All entries with the revision that each changed in last.
///
/// Answers are kept until the next change: the callers of a fleet mostly ask for the same few.
#[derive(Clone, Debug)]
pub struct Board {
    entries: Vec<Entry>,
    changed_at: Vec<u64>,
    revision: u64,
    /// Callers that hold an older revision get the whole list.
    base: u64,
    answers: HashMap<Option<u64>, Bytes>,
}

impl Board {
    /// A board at this revision.
    #[must_use]
    pub fn new(entries: Vec<Entry>, revision: u64) -> Self {
        let changed_at = vec![revision; entries.len()];
        Self {
            entries,
            changed_at,
            revision,
            base: revision,
            answers: HashMap::new(),
        }
    }

    /// The same entries as another service has them: it knows no older revision than the next one, its first.
    #[must_use]
    pub fn moved(&self) -> Self {
        Self::new(self.entries.clone(), self.revision + 1)
    }

    /// The present revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The entries, those that left included.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Changes entries in one new revision, which is returned.
    pub fn change(&mut self, which: &[usize], mut how: impl FnMut(&mut Entry)) -> u64 {
        self.revision += 1;
        for &index in which {
            how(&mut self.entries[index]);
            self.changed_at[index] = self.revision;
        }
        self.answers.clear();
        self.revision
    }

    /// Body of the answer to a caller that holds revision `after`, or nothing.
    ///
    /// # Errors
    /// Where the list can't be serialized.
    pub fn answer(&mut self, after: Option<u64>) -> Result<Bytes, serde_json::Error> {
        let known = after.filter(|after| (self.base..=self.revision).contains(after));
        if let Some(body) = self.answers.get(&known) {
            return Ok(body.clone());
        }
        let members = match known {
            Some(after) => self.changed_since(after),
            None => self
                .entries
                .iter()
                .filter(|entry| entry.phase != EntryPhase::Left)
                .collect(),
        };
        let list = List {
            revision: self.revision,
            complete: known.is_none(),
            members,
        };
        let body = Bytes::from(serde_json::to_vec(&list)?);
        self.answers.insert(known, body.clone());
        Ok(body)
    }

    fn changed_since(&self, after: u64) -> Vec<&Entry> {
        let changed = self
            .entries
            .iter()
            .zip(&self.changed_at)
            .filter(|&(_, &at)| at > after);
        changed.map(|(entry, _)| entry).collect()
    }
}

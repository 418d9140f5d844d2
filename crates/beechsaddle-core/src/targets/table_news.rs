//! The `table_news` module provides what routers of a domain tell each other of targets.

use super::{TargetEntry, TargetOptions, TargetTable, TargetWord, WordMerge};
use crate::clock::ClockTime;
use crate::members::HostState;
use crate::names::{RouterIncarnation, TargetName};
use crate::peer::TargetNews;

/// How many targets that do not serve are told again in each heartbeat, in turn, for routers that
/// missed it the first time.
const REPEATED_NEWS: usize = 2;

/// How many words about targets that are not listed here yet are kept.
const EARLY_LIMIT: usize = 1_024;

impl TargetTable {
    /// Takes a peer's word from its heartbeat.
    pub fn on_news(&mut self, now: ClockTime, from: &RouterIncarnation, news: &[TargetNews]) {
        if *from == self.me {
            return;
        }
        let mut is_early = false;
        for news in news {
            match self.entries.get_mut(&news.target) {
                Some(entry) if news.epoch == entry.epoch => {
                    entry.merge_news(now, news, &self.options);
                }
                // A word about a host that was replaced since says nothing of the new one.
                Some(entry) if news.epoch < entry.epoch => {}
                Some(_) | None => {
                    self.keep_early(news);
                    is_early = true;
                }
            }
        }
        if is_early {
            self.mark_replaced();
        }
    }

    /// Whether a heartbeat should go at once: a target was seen to leave, fail or come back.
    pub fn urgent_news(&self) -> bool {
        self.entries.values().any(|entry| entry.urgent)
    }

    /// What to tell in the next heartbeat, the urgent first.
    pub fn take_news(&mut self, now: ClockTime) -> Vec<TargetNews> {
        let mut names = self.names_by(|entry, _| entry.urgent);
        names.extend(self.names_by(|entry, _| entry.tell && !entry.urgent));
        names.extend(self.take_repeated(now));
        names.extend(self.names_by(|entry, options| entry.has_load_news(options)));
        let mut told: Vec<TargetNews> = Vec::new();
        for target in names {
            if told.len() >= self.options.news_limit {
                break;
            }
            if told.iter().any(|news| news.target == target) {
                continue;
            }
            if let Some(entry) = self.entries.get_mut(&target) {
                let mut news = entry.to_news();
                if !entry.urgent && !entry.tell && !entry.is_engine_told_again() {
                    news.engine = None;
                }
                entry.urgent = false;
                entry.tell = false;
                entry.told_load = entry.load.report();
                told.push(news);
            }
        }
        told
    }

    fn names_by(&self, is_told: impl Fn(&TargetEntry, &TargetOptions) -> bool) -> Vec<TargetName> {
        self.entries
            .values()
            .filter(|entry| entry.domain == self.domain && entry.listed.is_some())
            .filter(|entry| is_told(entry, &self.options))
            .map(|entry| entry.target.clone())
            .collect()
    }

    /// The next targets in turn that do not serve.
    fn take_repeated(&mut self, now: ClockTime) -> Vec<TargetName> {
        let options = &self.options;
        let mut bad = self.names_by(|entry, _| {
            entry.word.state() != HostState::Live && entry.state(now, options) != HostState::Live
        });
        if let Some(last) = &self.news_cursor {
            let place = bad.partition_point(|target| target <= last);
            bad.rotate_left(place);
        }
        bad.truncate(REPEATED_NEWS);
        self.news_cursor = bad.last().cloned();
        bad
    }

    fn keep_early(&mut self, news: &TargetNews) {
        if let Some(kept) = self.early.get_mut(&news.target) {
            let is_final = kept.epoch == news.epoch && kept.state == HostState::Leaving;
            let is_newer = (news.epoch, news.sequence) > (kept.epoch, kept.sequence);
            if news.epoch == kept.epoch && news.state == HostState::Leaving || is_newer && !is_final
            {
                *kept = news.clone();
            }
            return;
        }
        if self.early.len() < EARLY_LIMIT {
            self.early.insert(news.target.clone(), news.clone());
        }
    }
}

impl TargetEntry {
    /// Merges a peer's word about this epoch.
    pub fn merge_news(&mut self, now: ClockTime, news: &TargetNews, options: &TargetOptions) {
        let heard = TargetWord::new(news.state, news.sequence);
        let is_seen_live = self.probe.view(now, options) == Some(HostState::Live);
        match self.word.merge(heard) {
            WordMerge::Adopted if news.state == HostState::Down && is_seen_live => {
                // The peer cannot reach what this router reaches. Both go by what they see; the
                // others get the last word of the one that got an answer.
                self.word.observe(HostState::Live);
                self.tell_urgently();
            }
            WordMerge::Adopted if news.state == HostState::Live => {
                self.fresh_since = Some(now);
                self.tell_once();
            }
            WordMerge::Adopted | WordMerge::Outdated => self.tell_once(),
            WordMerge::Known => {}
        }
        if self.probe.view(now, options).is_some() {
            return;
        }
        if let Some(load) = news.load {
            self.take_load(now, load, None);
        }
        if news.engine.is_some() {
            self.engine = news.engine.clone();
        }
    }
}

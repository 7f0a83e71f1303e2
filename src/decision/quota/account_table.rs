//! The accounts that a node keeps, of which the number may be limited.

use std::collections::BTreeMap;

use super::account::Account;
use crate::decision::AccountId;

/// How many of the least recently used accounts are examined to make room for a new one.
const MAX_EXAMINED_ACCOUNTS: usize = 32;

/// The node keeps as many accounts as it may, and those that were examined to make room have work in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::decision) struct AccountLimitReached;

/// The accounts of this node, in the order of their ids and in the order of their latest use.
pub(super) struct AccountTable {
    by_id: BTreeMap<AccountId, Account>,
    /// The accounts by [`Account::latest_use`], the least recently used first.
    by_use: BTreeMap<u64, AccountId>,
    /// The number of the latest use of any account; the first use has the number 1.
    latest_use: u64,
    /// `None` if the number of accounts is not limited.
    max_accounts: Option<usize>,
}

impl AccountTable {
    /// Creates a table without accounts, which keeps at most `max_accounts`.
    pub fn new(max_accounts: Option<usize>) -> Self {
        AccountTable { by_id: BTreeMap::new(), by_use: BTreeMap::new(), latest_use: 0, max_accounts }
    }

    /// Returns the number of accounts that are kept.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether the account is kept.
    pub fn contains(&self, id: AccountId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub fn get(&self, id: AccountId) -> Option<&Account> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: AccountId) -> Option<&mut Account> {
        self.by_id.get_mut(&id)
    }

    /// Returns all accounts in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (AccountId, &mut Account)> {
        self.by_id.iter_mut().map(|(&id, account)| (id, account))
    }

    /// Makes room for a new account if the table is full: drops the least recently used account without work
    /// in flight, and returns it. Its lease and its unreported units are lost; its next request starts with
    /// what the counter tells. Returns `None` if there is room without that, or the account is kept already.
    ///
    /// # Errors
    /// If [`MAX_EXAMINED_ACCOUNTS`] of the least recently used accounts, or all, have work in flight. They
    /// then count as the most recently used ones, so that others are examined next time.
    pub fn make_room(&mut self, id: AccountId) -> Result<Option<AccountId>, AccountLimitReached> {
        let is_full = self.max_accounts.is_some_and(|max_accounts| self.by_id.len() >= max_accounts);
        if !is_full || self.contains(id) {
            return Ok(None);
        }
        for _ in 0..MAX_EXAMINED_ACCOUNTS.min(self.by_id.len()) {
            let Some((_, &oldest)) = self.by_use.first_key_value() else { break };
            if !self.use_or_insert(oldest, Account::default).has_work_in_flight() {
                self.remove(oldest);
                return Ok(Some(oldest));
            }
        }
        Err(AccountLimitReached)
    }

    /// Returns the account as the most recently used one. Adds it if it is not kept.
    pub fn use_or_insert(&mut self, id: AccountId, new_account: impl FnOnce() -> Account) -> &mut Account {
        let account = self.by_id.entry(id).or_insert_with(new_account);
        self.latest_use += 1;
        self.by_use.remove(&account.latest_use);
        self.by_use.insert(self.latest_use, id);
        account.latest_use = self.latest_use;
        account
    }

    fn remove(&mut self, id: AccountId) {
        if let Some(account) = self.by_id.remove(&id) {
            self.by_use.remove(&account.latest_use);
        }
    }

    /// Drops the accounts for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&Account) -> bool) {
        let by_use = &mut self.by_use;
        self.by_id.retain(|_, account| {
            let is_kept = is_kept(account);
            if !is_kept {
                by_use.remove(&account.latest_use);
            }
            is_kept
        });
    }
}

//! Lists of keys, read page by page.

use super::{REQUEST_TIMEOUT, StoreClient, StoreError, decode};
use crate::budget::RequestPriority;
use pulleywood_protocol::store::{Item, Page};

/// Maximum number of keys in a page of a list.
const MAX_PAGE_ITEMS: u32 = 1000;

impl StoreClient {
    /// Reads all keys with a prefix, page by page. Also returns the revision of the first page:
    /// the other pages may or may not contain changes after it.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if tokens are lacking, the request is rejected or no valid
    /// response arrives in time.
    pub fn list(
        &self,
        priority: RequestPriority,
        prefix: &str,
    ) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let store_revision = self.for_each_item(priority, prefix, |item| items.push(item))?;
        Ok((items, store_revision))
    }

    /// Like [`StoreClient::list`], but passes each item to `handle` instead of holding all of
    /// them. Returns the revision of the first page.
    ///
    /// # Errors
    ///
    /// Like [`StoreClient::list`]. Items of earlier pages have been handled by then.
    pub fn for_each_item(
        &self,
        priority: RequestPriority,
        prefix: &str,
        mut handle: impl FnMut(Item),
    ) -> Result<u64, StoreError> {
        let mut after: Option<String> = None;
        let mut store_revision = None;
        loop {
            self.take_tokens(priority, 0)?;
            let page = self.fetch_page(prefix, after.as_deref(), MAX_PAGE_ITEMS)?;
            let store_revision = *store_revision.get_or_insert(page.store_revision);
            after = page.items.last().map(|item| item.path.clone());
            page.items.into_iter().for_each(&mut handle);
            if !page.more || after.is_none() {
                return Ok(store_revision);
            }
        }
    }

    fn fetch_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<Page, StoreError> {
        let after = after.map(|key| format!("&from={key}")).unwrap_or_default();
        let path = format!("/store?starts={prefix}{after}&page={limit}");
        let response = self.send(&self.client, "GET", &path, None, REQUEST_TIMEOUT * 2)?;
        decode(&response)
    }

    /// Reads at most `limit` keys with a prefix that follow the key `after` in lexicographic
    /// order. With an empty `after` it starts at the first key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if tokens are lacking, the request is rejected or no valid
    /// response arrives in time.
    pub fn list_after(
        &self,
        priority: RequestPriority,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Page, StoreError> {
        self.take_tokens(priority, 0)?;
        self.fetch_page(prefix, Some(after).filter(|key| !key.is_empty()), limit)
    }
}

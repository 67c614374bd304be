"""The newest state of each record of one kind, for peers that follow this process."""

from .source import Record, Records


class RecordHistory:
    """Keep the newest state of each record, deletions included, and when it was confirmed.

    Changes carry the revision up to which the batch that brought them was complete: a deletion may
    name the revision of the last change before it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.confirmed_at = float("-inf")
        self._first_revision: int | None = None
        self._records: dict[str, Record] = {}
        self._batch_revisions: dict[str, int] = {}

    @property
    def is_synchronized(self) -> bool:
        """Tell whether all records were read at least once."""
        return self._first_revision is not None

    def update(self, batch: Records, *, confirmed_at: float) -> None:
        """Take a batch of records; one that is older than what is known only confirms it."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if batch.is_complete and batch.revision >= self.revision:
            self._delete_missing(batch)
        if batch.revision > self.revision or not self.is_synchronized:
            self._put(batch)
        if batch.is_complete and self._first_revision is None:
            self._first_revision = batch.revision

    def covers(self, revision: int) -> bool:
        """Tell whether all changes after a revision are known."""
        return self._first_revision is not None and revision >= self._first_revision

    def list(self) -> tuple[Record, ...]:
        """Return all records that exist."""
        return tuple(record for record in self._records.values() if not record.is_deleted)

    def list_changes(self, after_revision: int) -> tuple[Record, ...]:
        """Return the newest state of the records changed after a revision."""
        return tuple(
            record
            for name, record in self._records.items()
            if self._batch_revisions[name] > after_revision
            and (record.is_deleted or record.revision > after_revision)
        )

    def _put(self, batch: Records) -> None:
        for record in batch.records:
            self._records[record.name] = record
            self._batch_revisions[record.name] = batch.revision
        self.revision = max(self.revision, batch.revision)

    def _delete_missing(self, batch: Records) -> None:
        listed = {record.name for record in batch.records}
        for name, record in self._records.items():
            if name not in listed and not record.is_deleted:
                self._records[name] = Record(
                    name=name, revision=batch.revision, value=None, is_deleted=True
                )
                self._batch_revisions[name] = batch.revision

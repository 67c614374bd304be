"""The newest state of each record of one kind, for peers that follow this process."""

from .source import Record, Records


class RecordHistory:
    """Keep the newest state of each record, deletions included, and when it was confirmed.

    Changes carry the revision up to which the batch that brought them was complete: a deletion may
    name the revision of the last change before it.
    """

    def __init__(self) -> None:
        self.revision = -1
        self.confirmed_at = float("-inf")
        self._first_revision: int | None = None
        self._records: dict[str, Record] = {}
        self._batch_revisions: dict[str, int] = {}

    @property
    def is_synchronized(self) -> bool:
        """Tell whether all records were read at least once."""
        return self._first_revision is not None

    def update(self, batch: Records) -> None:
        """Take a batch of records; one that is older than what is known only confirms it."""
        self.confirmed_at = max(self.confirmed_at, batch.confirmed_at)
        if batch.revision <= self.revision:
            return
        if batch.is_complete:
            self._delete_missing(batch)
            if self._first_revision is None:
                self._first_revision = batch.revision
        for record in batch.records:
            self._records[record.name] = record
            self._batch_revisions[record.name] = batch.revision
        self.revision = batch.revision

    def list_ignored(self, batch: Records) -> tuple[Record, ...]:
        """Return the records of a batch that `update` would leave aside though they differ."""
        if batch.revision > self.revision:
            return ()
        return tuple(record for record in batch.records if self._has_other_content(record))

    def read_after(self, revision: int) -> Records:
        """Return the records changed after a revision; all if its changes are not known."""
        is_complete = self._first_revision is None or revision < self._first_revision
        records = [
            record
            for name, record in self._records.items()
            if (not record.is_deleted if is_complete else self._has_changed(name, revision))
        ]
        return Records(
            records=tuple(records),
            revision=self.revision,
            is_complete=is_complete,
            confirmed_at=self.confirmed_at,
        )

    def _has_other_content(self, record: Record) -> bool:
        known = self._records.get(record.name)
        if known is None:
            return not record.is_deleted
        return (known.is_deleted, known.content) != (record.is_deleted, record.content)

    def _has_changed(self, name: str, revision: int) -> bool:
        record = self._records[name]
        return self._batch_revisions[name] > revision and (
            record.is_deleted or record.revision > revision
        )

    def _delete_missing(self, batch: Records) -> None:
        listed = {record.name for record in batch.records}
        for name, record in self._records.items():
            if name not in listed and not record.is_deleted:
                self._records[name] = Record(
                    name=name, revision=batch.revision, value=None, is_deleted=True
                )
                self._batch_revisions[name] = batch.revision

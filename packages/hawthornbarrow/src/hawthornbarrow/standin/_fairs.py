"""Processes livestock entries of a fair: class by breed and age, stall and fee."""

import datetime

import msgspec

STALLS_PER_ROW = 12
LATE_FEE_CENTS = 1500
_DAYS_PER_MONTH = 30.4375
_BARNS = {"beef": "North", "dairy": "East", "sheep": "South", "swine": "West"}
_ENTRY_FEES_CENTS = {"beef": 2500, "dairy": 2500, "sheep": 1200, "swine": 1400}
_STALL_FEES_CENTS = {"beef": 1000, "dairy": 1000, "sheep": 400, "swine": 500}
_SPECIES = {
    "Angus": "beef",
    "Hereford": "beef",
    "Holstein": "dairy",
    "Jersey": "dairy",
    "Suffolk": "sheep",
    "Duroc": "swine",
}
_AGE_CLASSES = (
    (6, "calf"),
    (12, "junior yearling"),
    (18, "senior yearling"),
    (24, "two-year-old"),
)


class FairEntry(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A task that enters one animal for a fair.

    Attributes:
        exhibitor: Name of the exhibitor.
        number: Entry number, starting at 1.
        breed: Breed of the animal.
        born: Date of birth.
        fair_day: First day of the fair.
        stalls: Number of stalls requested.
        is_late: Whether the entry was received after the closing date.
        nonce: Value to return unchanged.
        run_ms: Time to wait before the calculation, in milliseconds.
    """

    exhibitor: str
    number: int
    breed: str
    born: datetime.date
    fair_day: datetime.date
    stalls: int = 1
    is_late: bool = False
    nonce: str = ""
    run_ms: float = 0.0


class FairEntryResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a fair entry.

    Attributes:
        exhibitor: Name of the exhibitor.
        class_name: Class in which the animal is shown.
        stall: First stall assigned, as barn, row and place.
        fee_cents: Fee in cents.
        nonce: The nonce of the entry.
    """

    exhibitor: str
    class_name: str
    stall: str
    fee_cents: int
    nonce: str


def process_entry(entry: FairEntry) -> FairEntryResult:
    """Returns the class, stall and fee of one entry.

    Raises:
        ValueError: The breed is not admitted to the fair.
    """
    species = _SPECIES.get(entry.breed)
    if species is None:
        raise ValueError(f"breed {entry.breed!r}, expected one of {sorted(_SPECIES)}")
    row, place = divmod(entry.number - 1, STALLS_PER_ROW)
    fee_cents = _ENTRY_FEES_CENTS[species] + entry.stalls * _STALL_FEES_CENTS[species]
    if entry.is_late:
        fee_cents += LATE_FEE_CENTS
    return FairEntryResult(
        exhibitor=entry.exhibitor,
        class_name=f"{entry.breed} {_age_class(entry)}",
        stall=f"{_BARNS[species]} {row + 1}-{place + 1}",
        fee_cents=fee_cents,
        nonce=entry.nonce,
    )


def _age_class(entry: FairEntry) -> str:
    months = (entry.fair_day - entry.born).days / _DAYS_PER_MONTH
    for limit_months, name in _AGE_CLASSES:
        if months < limit_months:
            return name
    return "aged"

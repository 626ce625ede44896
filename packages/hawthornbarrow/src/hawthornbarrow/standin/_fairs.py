"""A fair's entry desk: class by age and breed, stall, fee."""

import datetime

import msgspec

STALLS_PER_ROW = 12
LATE_FEE_CENTS = 1500
_DAYS_PER_MONTH = 30.4375
_BARNS = {"beef": "North", "dairy": "East", "sheep": "South", "swine": "West"}
_FEES_CENTS = {"beef": 2500, "dairy": 2500, "sheep": 1200, "swine": 1400}
_STALL_CENTS = {"beef": 1000, "dairy": 1000, "sheep": 400, "swine": 500}
_SPECIES = {
    "Angus": "beef",
    "Hereford": "beef",
    "Holstein": "dairy",
    "Jersey": "dairy",
    "Suffolk": "sheep",
    "Duroc": "swine",
}
_CLASSES = (
    (6, "calf"),
    (12, "junior yearling"),
    (18, "senior yearling"),
    (24, "two-year-old"),
)


class FairEntry(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One animal's entry.

    Attributes:
        exhibitor: Name of the exhibitor.
        number: Entry number, from one.
        breed: Breed of the animal.
        born: Date of birth.
        fair_day: First day of the fair.
        stalls: Number of stalls wanted.
        is_late: Whether the entry came after the closing date.
        nonce: Value to return unchanged.
        run_ms: Time to take besides the calculation.
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


class FairAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an entry.

    Attributes:
        exhibitor: Name of the exhibitor.
        class_name: Class in which the animal is shown.
        stall: First stall assigned, as barn, row and place.
        fee_cents: Fee in cents.
        nonce: The value sent.
    """

    exhibitor: str
    class_name: str
    stall: str
    fee_cents: int
    nonce: str


def answer_entry(entry: FairEntry) -> FairAnswer:
    """Returns class, stall and fee of one entry.

    Raises:
        ValueError: The breed is not shown at the fair.
    """
    species = _SPECIES.get(entry.breed)
    if species is None:
        raise ValueError(f"breed {entry.breed!r}, expected one of {sorted(_SPECIES)}")
    row, place = divmod(entry.number - 1, STALLS_PER_ROW)
    fee_cents = _FEES_CENTS[species] + entry.stalls * _STALL_CENTS[species]
    if entry.is_late:
        fee_cents += LATE_FEE_CENTS
    return FairAnswer(
        exhibitor=entry.exhibitor,
        class_name=f"{entry.breed} {_age_class(entry)}",
        stall=f"{_BARNS[species]} {row + 1}-{place + 1}",
        fee_cents=fee_cents,
        nonce=entry.nonce,
    )


def _age_class(entry: FairEntry) -> str:
    months = (entry.fair_day - entry.born).days / _DAYS_PER_MONTH
    for limit_months, name in _CLASSES:
        if months < limit_months:
            return name
    return "aged"

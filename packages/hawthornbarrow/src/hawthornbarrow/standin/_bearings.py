"""Rating life of rolling bearings (ISO 281) and static safety (ISO 76)."""

import msgspec

BALL_EXPONENT = 3.0
ROLLER_EXPONENT = 10.0 / 3.0
MAX_LIFE_FACTOR = 50.0
_REVOLUTIONS_PER_MREV = 1e6
_MINUTES_PER_HOUR = 60.0


class Bearing(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A bearing from a catalogue.

    Attributes:
        name: Designation.
        kind: "ball" or "roller".
        dynamic_n: Basic dynamic load rating C in newtons.
        static_n: Basic static load rating C0 in newtons.
        fatigue_n: Fatigue load limit Cu in newtons.
    """

    name: str
    kind: str
    dynamic_n: float
    static_n: float
    fatigue_n: float


class BearingCheck(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A task that checks a catalogue bearing against an application.

    Attributes:
        bearing: The bearing.
        load_n: Equivalent dynamic load P in newtons.
        static_load_n: Equivalent static load P0 in newtons.
        speed_rpm: Speed in revolutions per minute.
        contamination: Contamination factor eC, from 0 to 1.
        viscosity_ratio: Viscosity ratio kappa, from 0.1 to 4.
        nonce: Value to return unchanged.
        run_ms: Time to wait before the calculation, in milliseconds.
    """

    bearing: Bearing
    load_n: float
    static_load_n: float
    speed_rpm: float
    contamination: float
    viscosity_ratio: float
    nonce: str = ""
    run_ms: float = 0.0


class BearingLife(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a bearing check.

    Attributes:
        bearing: Designation.
        life_mrev: Basic rating life L10 in million revolutions.
        life_h: Basic rating life in hours.
        life_factor: Life modification factor aISO.
        adjusted_h: Modified rating life in hours.
        static_safety: Static safety factor s0.
        nonce: The nonce of the check.
    """

    bearing: str
    life_mrev: float
    life_h: float
    life_factor: float
    adjusted_h: float
    static_safety: float
    nonce: str


def check_bearing(check: BearingCheck) -> BearingLife:
    """Returns the rating life and static safety factor for one check."""
    bearing = check.bearing
    exponent = BALL_EXPONENT if bearing.kind == "ball" else ROLLER_EXPONENT
    life_mrev = (bearing.dynamic_n / check.load_n) ** exponent
    hours_per_mrev = _REVOLUTIONS_PER_MREV / (_MINUTES_PER_HOUR * check.speed_rpm)
    life_h = life_mrev * hours_per_mrev
    factor = life_factor(check)
    return BearingLife(
        bearing=bearing.name,
        life_mrev=life_mrev,
        life_h=life_h,
        life_factor=factor,
        adjusted_h=factor * life_h,
        static_safety=bearing.static_n / check.static_load_n,
        nonce=check.nonce,
    )


def life_factor(check: BearingCheck) -> float:
    """Returns the life modification factor aISO of ISO 281:2007, section 9.3."""
    kappa = min(max(check.viscosity_ratio, 0.1), 4.0)
    fatigue_ratio = check.contamination * check.bearing.fatigue_n / check.load_n
    if check.bearing.kind == "ball":
        kappa_term = (2.5671 - _lubrication_term(kappa, 2.2649, 1.9987)) ** 0.83
        bracket = 1 - kappa_term * fatigue_ratio ** (1 / 3)
        exponent = -9.3
    else:
        kappa_term = 1.5859 - _lubrication_term(kappa, 1.3993, 1.2348)
        bracket = 1 - kappa_term * fatigue_ratio**0.4
        exponent = -9.185
    if bracket <= 0:
        return MAX_LIFE_FACTOR
    return min(0.1 * bracket**exponent, MAX_LIFE_FACTOR)


def _lubrication_term(
    kappa: float, low_kappa_coefficient: float, high_kappa_coefficient: float
) -> float:
    if kappa < 0.4:
        return low_kappa_coefficient / kappa**0.054381
    if kappa < 1:
        return high_kappa_coefficient / kappa**0.19087
    return high_kappa_coefficient / kappa**0.071739

#pragma once

namespace kingcuploom {

// Part of each target's limit that an owner may use.
enum class Portion {
    None,
    // The successor's part while its predecessor is not known to be gone.
    Reserve,
    // The larger part, while the own lease is not confirmed.
    Primary,
    Whole,
};

// Slots (or connections) of a limit that a portion covers; primary and reserve together never exceed the limit.
int portionOf(Portion, int limit, int primaryPerMille);

const char* toString(Portion);

} // namespace kingcuploom

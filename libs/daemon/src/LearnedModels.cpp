#include "LearnedModels.h"

namespace kingcuploom {

placement::ClassCorrection correctionOf(const LearnedModels& learned, const std::string& className)
{
    const auto it = learned.corrections.find(className);
    return it == learned.corrections.end() ? placement::ClassCorrection() : it->second;
}

} // namespace kingcuploom

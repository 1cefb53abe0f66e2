#include "scheduler/Interference.h"

#include <algorithm>
#include <cmath>

namespace kingcuploom::scheduler {

namespace {

    // The columns of the images follow the constant and the use of other tasks.
    constexpr std::size_t constantColumn = 0;
    constexpr std::size_t otherColumn = 1;
    constexpr std::size_t firstImageColumn = 2;

    // Fraction of a sample's weight that remains after each refit.
    constexpr double decayFactor = 0.985;
    // Weight of a prior, in units of squared CPU use.
    constexpr double priorWeight = 0.05;
    constexpr double priorOwnSlack = 2.3;
    // Weight of the mean of all effects in the prior of an image, and the most that one pair contributes to a mean.
    constexpr double pooledWeight = 0.5;
    constexpr double maxPooledWeight = 1.0;
    // Caps the slack of very low tail latencies, which are dominated by rounding.
    constexpr double maxSlack = 4.0;

    // Imported models weigh less than new samples, because load and images may have changed since.
    constexpr double adoptedWeightFactor = 0.5;

    std::size_t getColumn(ImageNumber image) { return firstImageColumn + image.value(); }

    // Solves by Gaussian elimination without pivoting, since the priors make the matrix positive definite.
    std::vector<double> solve(std::vector<std::vector<double>> rows, std::vector<double> right)
    {
        const auto size = right.size();
        for (std::size_t pivot = 0; pivot < size; ++pivot) {
            for (std::size_t row = pivot + 1; row < size; ++row) {
                const auto factor = rows[row][pivot] / rows[pivot][pivot];
                if (factor == 0)
                    continue;
                for (std::size_t column = pivot; column < size; ++column)
                    rows[row][column] -= factor * rows[pivot][column];
                right[row] -= factor * right[pivot];
            }
        }
        std::vector<double> solution(size);
        for (std::size_t row = size; row-- > 0;) {
            auto value = right[row];
            for (std::size_t column = row + 1; column < size; ++column)
                value -= rows[row][column] * solution[column];
            solution[row] = value / rows[row][row];
        }
        return solution;
    }

} // namespace

ImageNumber InterferenceModel::getImageNumber(const std::string& image)
{
    return m_numbers.try_emplace(image, ImageNumber(static_cast<std::uint32_t>(m_numbers.size()))).first->second;
}

std::string InterferenceModel::getImageName(ImageNumber image) const
{
    const auto it = std::ranges::find(m_numbers, image, [](const auto& entry) { return entry.second; });
    return it == m_numbers.end() ? std::string() : it->first;
}

void InterferenceModel::resize(Model& model, std::size_t size)
{
    if (model.sums.size() >= size)
        return;
    for (auto& row : model.products)
        row.resize(size, 0);
    model.products.resize(size, std::vector<double>(size, 0));
    model.sums.resize(size, 0);
    for (auto column = model.priors.size(); column < size; ++column)
        model.priors.push_back({ column == constantColumn ? priorOwnSlack : -priorEffect, priorWeight });
}

void InterferenceModel::add(const InterferenceSample& sample)
{
    auto& model = m_models[sample.serving];
    resize(model, firstImageColumn + m_numbers.size());
    std::vector<std::pair<std::size_t, double>> inputs { { constantColumn, 1.0 }, { otherColumn, sample.otherUse } };
    std::ranges::transform(
        sample.fillingUse, std::back_inserter(inputs), [](const auto& use) { return std::pair(getColumn(use.first), use.second); });
    const auto slack = std::min(sample.slack, maxSlack);
    for (const auto& [row, left] : inputs) {
        model.sums[row] += left * slack;
        for (const auto& [column, right] : inputs)
            model.products[row][column] += left * right;
    }
}

void InterferenceModel::fit(Model& model)
{
    auto rows = model.products;
    auto right = model.sums;
    for (std::size_t i = 0; i < right.size(); ++i) {
        rows[i][i] += model.priors[i].weight;
        right[i] += model.priors[i].weight * model.priors[i].mean;
    }
    model.coefficients = solve(std::move(rows), std::move(right));
}

// Filling images differ from each other more than serving images differ in what they suffer, so the effect on the other serving images is
// the best guess for a pair that has not been seen together, and the mean of all effects for an image that has not been seen at all.
void InterferenceModel::updatePriors()
{
    const auto size = firstImageColumn + m_numbers.size();
    std::vector<double> weights(size, 0);
    std::vector<double> sums(size, 0);
    double allWeights = pooledWeight;
    double allSums = pooledWeight * priorEffect;
    for (const auto& [serving, model] : m_models) {
        for (auto column = firstImageColumn; column < model.coefficients.size(); ++column) {
            const auto weight = std::min(model.products[column][column], maxPooledWeight);
            weights[column] += weight;
            sums[column] -= weight * model.coefficients[column];
            allWeights += weight;
            allSums -= weight * model.coefficients[column];
        }
    }
    m_meanEffect = allSums / allWeights;
    m_meanEffects.assign(size, m_meanEffect);
    for (auto column = firstImageColumn; column < size; ++column)
        m_meanEffects[column] = (sums[column] + pooledWeight * m_meanEffect) / (weights[column] + pooledWeight);
    for (auto& [serving, model] : m_models) {
        for (auto column = firstImageColumn; column < model.priors.size(); ++column) {
            auto& prior = model.priors[column];
            // Priors imported from another scheduler weigh more.
            if (prior.weight <= priorWeight)
                prior.mean = -m_meanEffects[column];
        }
    }
}

void InterferenceModel::refit()
{
    ++m_version;
    updatePriors();
    for (auto& [serving, model] : m_models) {
        fit(model);
        for (auto& row : model.products)
            std::ranges::for_each(row, [](double& it) { it *= decayFactor; });
        std::ranges::for_each(model.sums, [](double& it) { it *= decayFactor; });
        std::ranges::for_each(model.priors, [](Prior& it) { it.weight = std::max(it.weight * decayFactor, priorWeight); });
    }
}

std::unique_ptr<schema::LearnedEffectT> InterferenceModel::exportEffect(const Model& model, const std::string& image, std::size_t column)
{
    if (column >= model.coefficients.size() || model.getWeight(column) <= 2 * priorWeight)
        return nullptr;
    auto effect = std::make_unique<schema::LearnedEffectT>();
    effect->image = image;
    effect->coefficient = static_cast<float>(model.coefficients[column]);
    effect->weight = static_cast<float>(model.getWeight(column));
    return effect;
}

schema::LearnedInterferenceT InterferenceModel::exportModels() const
{
    schema::LearnedInterferenceT all;
    for (const auto& entry : m_models) {
        const auto& model = entry.second;
        if (model.coefficients.empty())
            continue;
        auto slack = std::make_unique<schema::LearnedSlackT>();
        slack->serving = getImageName(entry.first);
        slack->own = static_cast<float>(model.coefficients[constantColumn]);
        slack->own_weight = static_cast<float>(model.getWeight(constantColumn));
        if (auto effect = exportEffect(model, {}, otherColumn))
            slack->effects.push_back(std::move(effect));
        for (const auto& [image, number] : m_numbers) {
            auto effect = image.empty() ? nullptr : exportEffect(model, image, getColumn(number));
            if (effect)
                slack->effects.push_back(std::move(effect));
        }
        all.models.push_back(std::move(slack));
    }
    return all;
}

void InterferenceModel::importModels(const schema::LearnedInterferenceT& all)
{
    for (const auto& slack : all.models) {
        std::ranges::for_each(slack->effects, [&](const auto& effect) { getImageNumber(effect->image); });
        auto& model = m_models[getImageNumber(slack->serving)];
        resize(model, firstImageColumn + m_numbers.size());
        model.priors[constantColumn] = { slack->own, slack->own_weight * adoptedWeightFactor };
        for (const auto& effect : slack->effects) {
            const auto column = effect->image.empty() ? otherColumn : getColumn(getImageNumber(effect->image));
            model.priors[column] = { effect->coefficient, effect->weight * adoptedWeightFactor };
        }
        fit(model);
    }
    ++m_version;
}

double InterferenceModel::effect(ImageNumber serving, ImageNumber filling) const
{
    const auto it = m_models.find(serving);
    const auto column = getColumn(filling);
    if (it == m_models.end() || column >= it->second.coefficients.size())
        return column < m_meanEffects.size() ? m_meanEffects[column] : m_meanEffect;
    return std::max(-it->second.coefficients[column], 0.0);
}

double InterferenceModel::ownSlack(ImageNumber serving) const
{
    const auto it = m_models.find(serving);
    if (it == m_models.end() || it->second.coefficients.empty())
        return priorOwnSlack;
    return it->second.coefficients[constantColumn];
}

} // namespace kingcuploom::scheduler

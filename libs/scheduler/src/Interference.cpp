#include "scheduler/Interference.h"

#include <algorithm>
#include <cmath>

namespace kingcuploom::scheduler {

namespace {

    // Columns before those of the images.
    constexpr std::size_t constantColumn = 0;
    constexpr std::size_t otherColumn = 1;
    constexpr std::size_t firstImageColumn = 2;

    // Weight that a sample keeps from one refit to the next.
    constexpr double keptWeight = 0.985;
    // Effect that is assumed of a pair without samples, and how many squared shares of use outweigh it.
    constexpr double assumedEffect = 1.0;
    constexpr double assumedWeight = 0.05;
    constexpr double assumedOwnSlack = 2.3;
    // A very low tail latency is a matter of rounding.
    constexpr double maxSlack = 4.0;

    std::size_t columnOf(ImageNumber image) { return firstImageColumn + image.value(); }

    // Gaussian elimination; the matrix is positive definite because of the assumed effects.
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

ImageNumber InterferenceModel::numberOf(const std::string& image)
{
    return m_numbers.try_emplace(image, ImageNumber(static_cast<std::uint32_t>(m_numbers.size()))).first->second;
}

void InterferenceModel::resize(Model& model, std::size_t size) const
{
    if (model.sums.size() >= size)
        return;
    for (auto& row : model.products)
        row.resize(size, 0);
    model.products.resize(size, std::vector<double>(size, 0));
    model.sums.resize(size, 0);
}

void InterferenceModel::add(const InterferenceSample& sample)
{
    auto& model = m_models[sample.serving];
    resize(model, firstImageColumn + m_numbers.size());
    std::vector<std::pair<std::size_t, double>> inputs { { constantColumn, 1.0 }, { otherColumn, sample.otherUse } };
    std::ranges::transform(
        sample.fillingUse, std::back_inserter(inputs), [](const auto& use) { return std::pair(columnOf(use.first), use.second); });
    const auto slack = std::min(sample.slack, maxSlack);
    for (const auto& [row, left] : inputs) {
        model.sums[row] += left * slack;
        for (const auto& [column, right] : inputs)
            model.products[row][column] += left * right;
    }
}

void InterferenceModel::refit()
{
    ++m_version;
    for (auto& [serving, model] : m_models) {
        auto rows = model.products;
        auto right = model.sums;
        for (std::size_t i = 0; i < right.size(); ++i) {
            rows[i][i] += assumedWeight;
            right[i] += assumedWeight * (i == constantColumn ? assumedOwnSlack : -assumedEffect);
        }
        model.coefficients = solve(std::move(rows), std::move(right));
        for (auto& row : model.products)
            std::ranges::for_each(row, [](double& it) { it *= keptWeight; });
        std::ranges::for_each(model.sums, [](double& it) { it *= keptWeight; });
    }
}

double InterferenceModel::effect(ImageNumber serving, ImageNumber filling) const
{
    const auto it = m_models.find(serving);
    const auto column = columnOf(filling);
    if (it == m_models.end() || column >= it->second.coefficients.size())
        return assumedEffect;
    return std::max(-it->second.coefficients[column], 0.0);
}

double InterferenceModel::ownSlack(ImageNumber serving) const
{
    const auto it = m_models.find(serving);
    if (it == m_models.end() || it->second.coefficients.empty())
        return assumedOwnSlack;
    return it->second.coefficients[constantColumn];
}

} // namespace kingcuploom::scheduler

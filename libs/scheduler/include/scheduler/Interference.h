#pragma once

#include "base/StrongId.h"
#include "schema/generated/jobs_generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuploom::scheduler {

// Index of an image within one scheduler, starting at 0.
using ImageNumber = StrongNumber<struct ImageTag, std::uint32_t>;

// Measurements for one serving task from one poll.
struct InterferenceSample {
    ImageNumber serving;
    // Tail latency limit divided by the measured tail latency: 1 at the limit, greater than 1 below it.
    double slack = 0;
    // CPU used by tasks that are neither serving nor filling, as a fraction of the worker's CPU capacity.
    double otherUse = 0;
    // CPU used by filling tasks, as a fraction of the worker's CPU capacity; one entry per image.
    std::vector<std::pair<ImageNumber, double>> fillingUse;
};

// Learns how much each filling image reduces the slack of each serving image. Each serving image has a linear model, fitted by least
// squares with exponential decay over about the last half minute. The model is per pair because effects differ widely and most pairs do
// not interfere. It predicts slack rather than latency because tail latency grows like 1 / (1 - load), so its inverse is linear in load.
class InterferenceModel {
public:
    ImageNumber getImageNumber(const std::string& image);

    void add(const InterferenceSample&);
    // Refits the models. Must be called once per second, because each call decays the weight of older samples.
    void refit();

    // Slack that the serving image loses when the filling image uses all CPUs of a worker.
    double effect(ImageNumber serving, ImageNumber filling) const;
    // Mean slack of the serving image without filling tasks.
    double ownSlack(ImageNumber serving) const;
    // Exports the learned models as a starting point for another scheduler.
    schema::LearnedInterferenceT exportModels() const;
    // Imports models learned by another scheduler. Must be called before the first sample.
    void importModels(const schema::LearnedInterferenceT&);

    // Incremented whenever the effects change.
    unsigned version() const { return m_version; }

private:
    // Expected effect before any sample.
    static constexpr double priorEffect = 1.0;

    struct Prior {
        double mean = 0;
        double weight = 0;
    };

    struct Model {
        // Normal equations, with rows and columns for the constant, the use of other tasks, and each image.
        std::vector<std::vector<double>> products;
        std::vector<double> sums;
        std::vector<double> coefficients;
        // Prior of each column: expected coefficient and its weight.
        std::vector<Prior> priors;

        // Total weight of the samples and the prior behind the coefficient.
        double getWeight(std::size_t column) const { return products[column][column] + priors[column].weight; }
    };

    // Sets the expected effects of pairs without samples.
    void updatePriors();
    static void resize(Model&, std::size_t size);
    static void fit(Model&);
    // Returns null if there is little evidence beyond the prior.
    static std::unique_ptr<schema::LearnedEffectT> exportEffect(const Model&, const std::string& image, std::size_t column);
    std::string getImageName(ImageNumber) const;

    std::map<std::string, ImageNumber> m_numbers;
    std::map<ImageNumber, Model> m_models;
    // Mean effect of all filling images, and of each one by column.
    double m_meanEffect = priorEffect;
    std::vector<double> m_meanEffects;
    unsigned m_version = 0;
};

} // namespace kingcuploom::scheduler

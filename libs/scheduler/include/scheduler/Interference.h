#pragma once

#include "base/StrongId.h"
#include "schema/generated/jobs_generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuploom::scheduler {

// Number of an image within one scheduler, from 0.
using ImageNumber = StrongNumber<struct ImageTag, std::uint32_t>;

// Figures of one serving task at one look.
struct InterferenceSample {
    ImageNumber serving;
    // Limit of the tail latency divided by the tail latency: 1 at the limit, more below it.
    double slack = 0;
    // Processors that tasks without an image use, as a share of the worker's.
    double otherUse = 0;
    // The same by image of the filling tasks; one entry for an image.
    std::vector<std::pair<ImageNumber, double>> fillingUse;
};

// Learns by how much each filling image takes from the slack of each serving image: a linear model for each serving image, fitted
// by least squares over the last half minute or so. Pairs differ widely, and most of them do not disturb each other. The slack is
// used because a tail latency grows like 1 / (1 - load), so that its inverse falls linearly with the load.
class InterferenceModel {
public:
    ImageNumber getImageNumber(const std::string& image);

    void add(const InterferenceSample&);
    // Fits the models to the samples. To be called every second; older samples lose weight with each call.
    void refit();

    // Slack that is lost when the filling image uses all processors of a worker.
    double effect(ImageNumber serving, ImageNumber filling) const;
    // Mean slack of the serving image without filling tasks.
    double ownSlack(ImageNumber serving) const;
    // What has been learned, for another scheduler to begin with.
    schema::LearnedInterferenceT learned() const;
    // Begins with what another scheduler has learned; to be called before the first sample.
    void adopt(const schema::LearnedInterferenceT&);

    // Counts the refits; effects change only with it.
    unsigned version() const { return m_version; }

private:
    struct Prior {
        double mean = 0;
        double weight = 0;
    };

    struct Model {
        // Normal equations: rows and columns for the constant, other use, and each image.
        std::vector<std::vector<double>> products;
        std::vector<double> sums;
        std::vector<double> coefficients;
        // By column: what is expected without samples, and the weight of that.
        std::vector<Prior> priors;

        // Evidence for the coefficient of the column.
        double getWeight(std::size_t column) const { return products[column][column] + priors[column].weight; }
    };

    static void resize(Model&, std::size_t size);
    static void fit(Model&);
    // Null when there is no more than the assumption.
    static std::unique_ptr<schema::LearnedEffectT> learnedEffect(const Model&, const std::string& image, std::size_t column);
    std::string getImageName(ImageNumber) const;

    std::map<std::string, ImageNumber> m_numbers;
    std::map<ImageNumber, Model> m_models;
    unsigned m_version = 0;
};

} // namespace kingcuploom::scheduler

#include "schema/JsonCodec.h"

#include "schema/generated/resources_text.h"
#include "schema/generated/settings_text.h"

#include <flatbuffers/idl.h>

namespace kingcuploom::schema {

namespace {

    flatbuffers::IDLOptions parserOptions()
    {
        flatbuffers::IDLOptions options;
        options.strict_json = true;
        options.output_default_scalars_in_json = true;
        options.indent_step = -1;
        return options;
    }

    // A parser holds the schema and the last parsed buffer, so each call has its own.
    Expected<std::unique_ptr<flatbuffers::Parser>, ParseError> makeParser(const char* schemaText, const char* rootType)
    {
        auto parser = std::make_unique<flatbuffers::Parser>(parserOptions());
        if (!parser->Parse(schemaText) || !parser->SetRootType(rootType))
            return makeUnexpected(ParseError { "schema", parser->error_ });
        return parser;
    }

    template <typename Table>
    Expected<typename Table::NativeTableType, ParseError> parse(
        const char* schemaText, const char* rootType, const std::string& json, const std::string& source)
    {
        auto parser = makeParser(schemaText, rootType);
        if (!parser)
            return makeUnexpected(parser.error());
        if (!(*parser)->ParseJson(json.c_str(), source.c_str()))
            return makeUnexpected(ParseError { source, (*parser)->error_ });
        typename Table::NativeTableType result;
        flatbuffers::GetRoot<Table>((*parser)->builder_.GetBufferPointer())->UnPackTo(&result);
        return result;
    }

    template <typename Table> std::string generate(const char* rootType, const typename Table::NativeTableType& value)
    {
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(Table::Pack(builder, &value));
        auto parser = makeParser(resourcesSchemaText, rootType);
        std::string text;
        if (parser)
            flatbuffers::GenerateText(**parser, builder.GetBufferPointer(), &text);
        return text;
    }

} // namespace

Expected<SettingsT, ParseError> parseSettings(const std::string& json, const std::string& source)
{
    return parse<Settings>(settingsSchemaText, "kingcuploom.schema.Settings", json, source);
}

Expected<ResourceT, ParseError> parseResource(const std::string& json, const std::string& source)
{
    return parse<Resource>(resourcesSchemaText, "kingcuploom.schema.Resource", json, source);
}

Expected<JobSpecT, ParseError> parseJobSpec(const std::string& json, const std::string& source)
{
    return parse<JobSpec>(resourcesSchemaText, "kingcuploom.schema.JobSpec", json, source);
}

std::string toJson(const ResourceT& resource) { return generate<Resource>("kingcuploom.schema.Resource", resource); }

std::string toJson(const JobSpecT& spec) { return generate<JobSpec>("kingcuploom.schema.JobSpec", spec); }

} // namespace kingcuploom::schema

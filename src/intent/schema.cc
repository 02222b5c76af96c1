#include "bamboowing/intent/schema.h"

namespace bamboowing {
namespace embedded {
extern const std::string_view kIntentSchema;
}  // namespace embedded

std::string_view IntentSchemaText() { return embedded::kIntentSchema; }

}  // namespace bamboowing

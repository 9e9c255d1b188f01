export {
    Configuration,
    type ConfigurationDocument,
    type Drain,
    type RegionDefinition,
    type ServiceDefinition
} from "./Configuration";
export { describeFaults, type DocumentFault } from "./DocumentFault";
export { parseConfiguration, parseDocument, parseSettings } from "./ParseDocument";
export { type InstanceSettings, Settings } from "./Settings";

export { type ListedBackendServer, type ListedEntryInstance, ListedInstance } from "./InstanceList";
export {
    makePlatformClient,
    type NewRow,
    type PlatformClient,
    type PlatformFailure,
    type PlatformOptions,
    type TableRow
} from "./PlatformClient";

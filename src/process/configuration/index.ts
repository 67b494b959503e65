/** Storage, distribution and pushes of the configuration that all routers share. */
export { ConfigurationStore, type ConfigurationStoreOptions } from "./configuration-store.js";
export { isPlatformWatcher } from "./platform-watchers.js";
export { type ActivationReport, type PushRequest, PushService, type PushServiceOptions } from "./push-service.js";

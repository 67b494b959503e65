/** Clients of the platform's services. */
export { HttpKeyValueService } from "./http-key-value-service.js";
export { HttpPlatformClient } from "./http-platform-client.js";
export { HttpVmList, vmListSchema } from "./http-vm-list.js";

/** Table of the store with what the endpoint of each VM last said of itself: the key is the name of the VM. */
export const ENDPOINTS_TABLE = "waxwingshunt-endpoints";
